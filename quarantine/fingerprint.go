package quarantine

// Fingerprint identifies a request by a hash of its service, method, path and
// body. It does not cover the idempotency key.
type Fingerprint uint64

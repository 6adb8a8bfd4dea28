package quarantine

// Fingerprint identifies a request by service, method, path and body hash. It
// does not cover the idempotency key.
type Fingerprint uint64

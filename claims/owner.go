package claims

import "github.com/goldcrestsail/goldcrestsail/idempotency"

// Owner returns the process that issued key, and true, if key is an issued key.
// Only that process may execute requests with the key, so they must be sent to it.
// For other keys it returns false: every node of the service accepts them. The
// error has kind key-malformed.
func Owner(key string) (idempotency.ProcessID, bool, error) {
	k, err := idempotency.ParseKey(key)
	return k.Issuer, err == nil && k.Format == idempotency.FormatIssued, err
}

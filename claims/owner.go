package claims

import "github.com/goldcrestsail/goldcrestsail/idempotency"

// Owner returns the process that alone may execute key, and true, for an
// issued key; requests with such a key must be sent to that process. For other
// keys it returns false: any node of the service takes them. The error has
// kind key-malformed.
func Owner(key string) (idempotency.ProcessID, bool, error) {
	k, err := idempotency.ParseKey(key)
	return k.Issuer, err == nil && k.Format == idempotency.FormatIssued, err
}

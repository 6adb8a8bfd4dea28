package claims

import "context"

// Appender appends records to the claims stream of a guard. An implementation may
// combine the records of concurrent calls into one append.
type Appender interface {
	// Append returns nil once data is appended. After an error, data may or may
	// not have been appended, and may still be appended later.
	Append(ctx context.Context, data []byte) error
}

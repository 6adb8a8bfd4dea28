package claims

import "context"

// Appender appends records to the guard's stream. Implementations may combine
// records of concurrent calls into one append.
type Appender interface {
	// Append returns when data was appended. After an error it may or may not
	// have been appended, and may still be later.
	Append(ctx context.Context, data []byte) error
}

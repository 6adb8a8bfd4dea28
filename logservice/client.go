// Package logservice is the client side of the platform's append-only log
// service.
package logservice

import (
	"context"
	"time"
)

// Record is one record of a stream.
type Record struct {
	Offset uint64
	// Time is when the log service appended the record, on its own clock.
	Time time.Time
	Data []byte
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// Next is the offset to read from next.
	Next uint64
	// Earliest is the lowest offset that is still kept.
	Earliest uint64
}

// Client appends to and reads from streams. It is safe for concurrent use.
// Errors have kind log-unavailable.
type Client interface {
	// Append adds the records in order and returns the offset of the first.
	// After an error the append may or may not have taken effect.
	Append(ctx context.Context, stream string, data ...[]byte) (first uint64, err error)
	// Read returns up to max records from offset from on. When there are none
	// it waits up to wait. A from below Earliest starts at Earliest.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Batch, error)
}

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

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Next is the offset to read from next.
	Next uint64
	// Earliest is the lowest offset that the log service still retains.
	Earliest uint64
}

// Client appends to and reads from streams. It is safe for concurrent use.
// Errors have kind log-unavailable.
type Client interface {
	// Append adds the records in order and returns the offset of the first.
	// After an error, the records may or may not have been appended.
	Append(ctx context.Context, stream string, data ...[]byte) (first uint64, err error)
	// Read returns up to maxRecords records, starting at offset from. If there
	// are none yet, it waits for one for at most wait. If from is below
	// Batch.Earliest, the read starts at Batch.Earliest.
	Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (Batch, error)
}

package message

import "time"

// Request is a request that was read completely.
type Request struct {
	// ID is unique for each attempt of a client.
	ID string
	// Method and URI are the request line as received; URI holds path and query.
	Method, URI string
	Host        string
	// Header holds the end-to-end fields except those that Request has fields for.
	Header []Field
	Body   []byte
	// Arrived is when the request had been read, Deadline when its caller stops
	// waiting.
	Arrived, Deadline time.Time
	// ParentID is the ID of the request that this one belongs to, as far as the
	// caller's naming tells. It may be wrong.
	ParentID string
}

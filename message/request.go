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
	// FromTarget reports that the caller is on the node's own instance, which is
	// the target itself.
	FromTarget bool
}

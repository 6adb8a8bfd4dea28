package message

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
)

// Request is a request that was received completely.
type Request struct {
	// ID is unique for each attempt of a client.
	ID string
	// Method and URI are the request line as received; URI holds path and query.
	Method, URI string
	Host        string
	// Header holds the end-to-end fields that have no field of their own in
	// Request.
	Header []Field
	Body   []byte
	// BodyMemory is the memory that Body takes up in the process's budget. The
	// server that received the request releases it after its response.
	BodyMemory *bytebudget.Reservation
	// Arrived is when the request was received completely, Deadline when its
	// caller stops waiting.
	Arrived, Deadline time.Time
	// ParentID is the ID of the request on whose behalf the caller sent this
	// one, derived from the form of the caller's request ID. It may be wrong.
	ParentID string
}

package replay

import (
	"strconv"
	"time"

	"github.com/goldcrestsail/goldcrestsail/chain"
)

// request is what a client wants once, whatever number of attempts it takes.
type request struct {
	id       uint64
	op       *Operation
	at       time.Duration
	key      string
	deadline time.Time

	answeredAt time.Time
	attempts   int
	// response is the last response that reached the client.
	response reply
	entry    *target
	// issuer is the target whose node issued the key, or nil.
	issuer *target
}

// body is the content of the complete response to an operation of a request.
func (r *request) body(op *Operation) uint64 {
	return r.id*0x9e3779b97f4a7c15 + uint64(op.index) + 1
}

// fingerprint identifies calls of an operation with the same content. Every
// request has its own content, except those that crash targets.
func (r *request) fingerprint(op *Operation) uint64 {
	path := op.Path
	if !op.Crash {
		path += "?" + strconv.FormatUint(r.id, 10)
	}
	return chain.Fingerprint(op.Method, op.Service, path, "", 0)
}

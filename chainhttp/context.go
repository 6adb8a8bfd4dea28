// Package chainhttp propagates call chains in Go targets and callers.
//
// A target wraps its handler with Middleware and sends its sub-calls through
// a Transport. The node beside the target then knows which chain a sub-call
// belongs to, and with it the deadline, importance and retry allowance.
package chainhttp

import (
	"context"
	"net/http"
)

// Names of the header fields of the call contract (docs/call-contract.md).
const (
	HeaderTimeout     = "Request-Timeout"
	HeaderKey         = "Idempotency-Key"
	HeaderReplayed    = "Idempotency-Replayed"
	HeaderTraceParent = "Traceparent"
	HeaderTraceState  = "Tracestate"
	HeaderRequestID   = "Goldcrestsail-Request-Id"
	HeaderKind        = "Goldcrestsail-Kind"
	HeaderRunState    = "Goldcrestsail-Run-State"
	HeaderEffect      = "Goldcrestsail-Effect"
)

// TraceStateKey is the member of tracestate that carries the chain token.
const TraceStateKey = "goldcrestsail"

type contextKey struct{}

// propagated is what one incoming request hands to its sub-calls.
type propagated struct {
	traceParent, traceState string
}

func fromContext(ctx context.Context) (propagated, bool) {
	p, ok := ctx.Value(contextKey{}).(propagated)
	return p, ok
}

func withHeaders(ctx context.Context, h http.Header) context.Context {
	return context.WithValue(ctx, contextKey{}, propagated{h.Get(HeaderTraceParent), h.Get(HeaderTraceState)})
}

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

// Header fields of the call contract (docs/call-contract.md).
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

// TraceStateKey is the key of the tracestate member that carries the chain token.
const TraceStateKey = "goldcrestsail"

type contextKey struct{}

// propagatedHeaders holds the headers of an incoming request that are copied to
// its sub-calls.
type propagatedHeaders struct {
	traceParent, traceState string
}

func fromContext(ctx context.Context) (propagatedHeaders, bool) {
	p, ok := ctx.Value(contextKey{}).(propagatedHeaders)
	return p, ok
}

func withHeaders(ctx context.Context, h http.Header) context.Context {
	return context.WithValue(ctx, contextKey{}, propagatedHeaders{h.Get(HeaderTraceParent), h.Get(HeaderTraceState)})
}

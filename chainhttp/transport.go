package chainhttp

import (
	"net/http"
	"time"
)

// Transport is a RoundTripper that sends requests for http://SERVICE.CUSTOMER/
// through a node. It copies the chain headers in the request's context to the
// request.
type Transport struct {
	// Node is the address of a node: its target-side address for a target, a
	// caller address for a client.
	Node string
	// Base performs the round trip; nil means http.DefaultTransport.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	out := r.Clone(ctx)
	if out.Host == "" {
		out.Host = r.URL.Host
	}
	out.URL.Scheme = "http"
	out.URL.Host = t.Node
	if p, ok := fromContext(ctx); ok {
		setHeader(out.Header, HeaderTraceParent, p.traceParent)
		setHeader(out.Header, HeaderTraceState, p.traceState)
	}
	if deadline, ok := ctx.Deadline(); ok && out.Header.Get(HeaderTimeout) == "" {
		out.Header.Set(HeaderTimeout, FormatTimeout(time.Until(deadline)))
	}
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	return base.RoundTrip(out)
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

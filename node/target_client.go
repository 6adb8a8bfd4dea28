package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/internal/httphead"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
)

// targetClient sends requests to the local target over HTTP/1.1.
type targetClient struct {
	address   string
	transport *http.Transport
}

// newTargetClient returns a client with at most the given number of
// connections to the target.
func newTargetClient(address string, maxConnections int) *targetClient {
	return &targetClient{address: address, transport: &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: dialTimeout,
			// Keep-alive probes detect a dead connection within 1.5 s.
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1},
		}).DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}}
}

func (c *targetClient) close() { c.transport.CloseIdleConnections() }

// targetRequest is one request to the target.
type targetRequest struct {
	call     *peerrpc.CallRequest
	token    string
	deadline time.Time
	// maxResponseBytes limits the body of the response.
	maxResponseBytes int64
}

// emptyBody prevents the transport from treating a request as replayable. After
// a broken connection, the transport would resend a request that has an
// Idempotency-Key or a safe method, bypassing the retry allowance and the claim.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// targetResponse is the complete response of the target.
type targetResponse struct {
	*peerrpc.CallResponse
	// noEffect reports that the target failed before the request took effect.
	noEffect bool
}

// send sends a request and reads the complete response. The error has run state
// not-run only if nothing was written to the target or the target itself
// refused the request as not run.
func (c *targetClient) send(ctx context.Context, q *targetRequest) (*targetResponse, *kind.Error) {
	mayHaveWritten := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		mayHaveWritten = true
	}})
	request, err := c.newRequest(ctx, q)
	if err != nil {
		return nil, kind.New(kind.Malformed, err.Error())
	}
	response, err := (&httphead.Transport{Base: c.transport}).RoundTrip(request)
	if err != nil {
		return nil, targetError(ctx, err, mayHaveWritten)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, q.maxResponseBytes+1))
	if err != nil {
		if failure := targetError(ctx, err, true); failure.Kind != kind.TargetCrashed {
			return nil, failure
		}
		return nil, kind.Newf(kind.AnswerTruncated, "answer ended early: %v", err)
	}
	if int64(len(body)) > q.maxResponseBytes {
		return nil, kind.Newf(kind.AnswerTooLarge, "answer above %d bytes", q.maxResponseBytes)
	}
	if response.StatusCode == http.StatusServiceUnavailable && kind.RunState(response.Header.Get(chainhttp.HeaderRunState)) == kind.NotRun {
		return nil, kind.New(kind.Shed, "the target refused the request")
	}
	return &targetResponse{
		CallResponse: &peerrpc.CallResponse{
			RequestId: q.call.RequestId, Status: uint32(response.StatusCode), RunState: string(kind.Ran),
			Headers: copyHeaders(response.Header, skippedResponseHeaders), Body: body,
		},
		noEffect: response.StatusCode >= http.StatusInternalServerError && response.Header.Get(chainhttp.HeaderEffect) == chainhttp.EffectNone,
	}, nil
}

func (c *targetClient) newRequest(ctx context.Context, q *targetRequest) (*http.Request, error) {
	var body io.Reader = emptyBody{}
	if len(q.call.Body) > 0 {
		// The wrapper hides the reader's type, so that GetBody stays unset.
		body = struct{ io.Reader }{strings.NewReader(string(q.call.Body))}
	}
	request, err := http.NewRequestWithContext(ctx, q.call.Method, "http://"+c.address+q.call.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(q.call.Body))
	request.Host = q.call.Service + "." + q.call.Customer
	for _, h := range q.call.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.Header.Set(chainhttp.HeaderRequestID, q.call.RequestId)
	request.Header.Set(chainhttp.HeaderTimeout, chainhttp.FormatTimeout(time.Until(q.deadline)))
	if request.Header.Get(chainhttp.HeaderTraceParent) == "" {
		request.Header.Set(chainhttp.HeaderTraceParent, traceParent(q.call.ChainId, q.token))
	}
	request.Header.Set(chainhttp.HeaderTraceState, addChainToken(request.Header.Get(chainhttp.HeaderTraceState), q.token))
	if q.call.Key != "" {
		request.Header.Set(chainhttp.HeaderKey, q.call.Key)
	}
	return request, nil
}

// traceParent returns a W3C traceparent for a chain ID and a token, both in
// hexadecimal; its parent ID is the start of the token.
func traceParent(chainID, token string) string {
	return "00-" + chainID + "-" + token[:16] + "-01"
}

// targetError maps a transport error to a kind.
func targetError(ctx context.Context, err error, mayHaveWritten bool) *kind.Error {
	if !mayHaveWritten {
		if ctx.Err() != nil {
			return kind.New(kind.DeadlineExpired, "no connection to the target before the deadline").WithRun(kind.NotRun)
		}
		return kind.New(kind.DialFailed, err.Error())
	}
	switch {
	case errors.Is(err, httphead.ErrMalformed):
		return kind.Newf(kind.AnswerMismatched, "what the target sent is no response: %v", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return kind.New(kind.DeadlineExpired, "the target did not answer before the deadline")
	case errors.Is(ctx.Err(), context.Canceled):
		return kind.New(kind.Canceled, "the caller left")
	}
	return kind.New(kind.TargetCrashed, err.Error())
}

package httpconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/internal/httphead"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// maxInlineBodyBytes is the largest body that is written before waiting for the
// response. A longer one is written concurrently, as a target may respond before
// it has read all of it.
const maxInlineBodyBytes = 32 << 10

// Target is the client for the target on the node's own instance. It is safe for
// concurrent use.
type Target struct {
	cfg TargetConfig

	mu sync.Mutex
	// idle holds the idle connections, the most recently used one last.
	idle  []*targetConn
	dials uint64
}

// NewTarget returns a client that has no open connections.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{cfg: cfg.withDefaults()}
}

// Dials returns the number of connections opened so far.
func (t *Target) Dials() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dials
}

// Do sends a request to the target with the given ID, at most once, and returns
// the complete response. When ctx ends, Do closes the connection, which makes most
// targets abort the request. The run state of an error is not-run only if no byte
// of the request was written.
func (t *Target) Do(ctx context.Context, call *message.Call, targetID string) (*TargetResponse, *kind.Error) {
	p := &pendingRequest{id: call.ID, method: call.Method, done: make(chan struct{})}
	conn, failure := t.acquire(ctx, p)
	if failure != nil {
		return nil, failure
	}
	head := t.appendRequest(nil, call, targetID)
	if len(call.Body) <= maxInlineBodyBytes {
		if failure := conn.writeRequest(head, call.Body); failure != nil {
			return nil, failure
		}
	} else {
		go conn.writeRequest(head, call.Body)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		conn.closeWithError(ctx.Err())
		<-p.done
	}
	if p.err != nil {
		return nil, responseError(ctx, p.err)
	}
	r, failure := t.checkResponse(p)
	if failure == nil && (r.NotRun || r.Misdirected) {
		p.reusable = conn.recordRefusal(call.ID) && p.reusable
	}
	if p.reusable && len(call.Body) <= maxInlineBodyBytes {
		t.release(conn)
	} else {
		conn.closeWithError(net.ErrClosed)
	}
	return r, failure
}

// writeRequest sends one request. It returns an error, with run state not-run, only
// if no byte was sent; the reader reports later failures of the connection.
func (c *targetConn) writeRequest(head, body []byte) *kind.Error {
	buffers := net.Buffers{head, body}
	n, err := buffers.WriteTo(c.nc)
	if err == nil {
		return nil
	}
	c.closeWithError(err)
	if n == 0 {
		return kind.Newf(kind.DialFailed, "the connection to the target ended before the request was sent: %v", err)
	}
	return nil
}

func responseError(ctx context.Context, err error) *kind.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return kind.New(kind.DeadlineExpired, "no response from the target before the deadline")
	case ctx.Err() != nil:
		return kind.New(kind.Canceled, "the caller disconnected while the target was processing the request")
	}
	switch {
	case errors.Is(err, httphead.ErrMalformed), errors.Is(err, errHeadTooLarge), errors.Is(err, errTooManyInterimResponses), errors.Is(err, errBodyWithoutEnd):
		return kind.Newf(kind.AnswerMismatched, "what the target sent is no response: %v", err)
	case errors.Is(err, bytebudget.ErrTooLarge), errors.Is(err, bytebudget.ErrExhausted):
		return kind.Newf(kind.AnswerTooLarge, "response of the target: %v", err).WithRun(kind.MayHaveRun)
	}
	return kind.Newf(kind.AnswerTruncated, "the connection to the target ended before its response was complete: %v", err)
}

// acquire returns an idle or new connection on which p has been started.
func (t *Target) acquire(ctx context.Context, p *pendingRequest) (*targetConn, *kind.Error) {
	now := time.Now()
	for {
		conn := t.takeIdle(p.id)
		if conn == nil {
			break
		}
		if conn.usable(now) && conn.startRequest(p) {
			return conn, nil
		}
		conn.closeWithError(net.ErrClosed)
	}
	conn, err := t.dial(ctx)
	if err != nil {
		return nil, kind.Newf(kind.DialFailed, "target %s: %v", t.cfg.Address, err)
	}
	if !conn.startRequest(p) {
		return nil, kind.Newf(kind.DialFailed, "target %s closed a new connection", t.cfg.Address)
	}
	return conn, nil
}

// takeIdle removes and returns the idle connection that was used last and has not
// carried a refusal of the request with the given ID, nil if there is none. A faulty
// target may write that refusal once more, and the ID would not tell it from the answer
// to the second try.
func (t *Target) takeIdle(requestID string) *targetConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.idle) - 1; i >= 0; i-- {
		if conn := t.idle[i]; !conn.hasRefused(requestID) {
			t.idle = slices.Delete(t.idle, i, i+1)
			return conn
		}
	}
	return nil
}

func (t *Target) dial(ctx context.Context) (*targetConn, error) {
	t.mu.Lock()
	t.dials++
	t.mu.Unlock()
	dialer := net.Dialer{Timeout: t.cfg.DialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", t.cfg.Address)
	if err != nil {
		return nil, err
	}
	return newTargetConn(nc, &t.cfg), nil
}

// Probe opens a connection to the target, which the next request uses, and returns
// the error of the dialer if that fails.
func (t *Target) Probe(ctx context.Context) error {
	conn, err := t.dial(ctx)
	if err != nil {
		return err
	}
	t.release(conn)
	return nil
}

func (t *Target) release(conn *targetConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, conn)
}

// PruneIdle closes idle connections that are no longer usable.
func (t *Target) PruneIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := t.idle[:0]
	for _, c := range t.idle {
		if c.usable(now) {
			usable = append(usable, c)
		} else {
			c.closeWithError(net.ErrClosed)
		}
	}
	t.idle = usable
}

// CloseIdle closes all idle connections.
func (t *Target) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		c.closeWithError(net.ErrClosed)
	}
	t.idle = nil
}

func (t *Target) appendRequest(b []byte, call *message.Call, targetID string) []byte {
	names := &t.cfg.Names
	b = append(b, call.Method...)
	b = append(b, ' ')
	b = append(b, call.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", call.Host)
	b = appendField(b, names.RequestID, call.ID)
	b = appendField(b, names.TimeoutMS, strconv.FormatInt(max(1, time.Until(call.Deadline).Milliseconds()), 10))
	if targetID != "" {
		b = appendField(b, names.ExpectedTarget, targetID)
	}
	if call.CallerService != "" {
		b = appendField(b, names.CallerService, call.CallerService)
	}
	b = appendFields(b, call.Header)
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b = appendField(b, "Content-Length", strconv.Itoa(len(call.Body)))
	}
	return append(b, "\r\n"...)
}

// checkResponse converts the response to p and rejects one that was not created by
// a target.
func (t *Target) checkResponse(p *pendingRequest) (*TargetResponse, *kind.Error) {
	names := &t.cfg.Names
	h := p.response.Header
	r := &TargetResponse{
		Response: message.Response{
			Status: p.response.StatusCode, Body: p.body, BodyMemory: p.bodyMemory, FromTarget: true,
			Header: endToEndFields(h, names.RequestID, names.TargetLoad, names.TargetID),
		},
		NotRun:      h.Get(names.NotRun) != "",
		Misdirected: p.response.StatusCode == http.StatusMisdirectedRequest,
		Load:        parseTargetLoad(h.Get(names.TargetLoad)),
		Notice:      parseTargetNotice(h, names),
	}
	if !r.NotRun && !r.Misdirected && h.Get(names.Seal) == "" {
		p.bodyMemory.Release()
		return nil, kind.Newf(kind.AnswerMismatched, "response with status %d has no seal of a target", r.Status)
	}
	return r, nil
}

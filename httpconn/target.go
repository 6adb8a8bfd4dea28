package httpconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// maxInlineBodyBytes is the largest body that is written before the response is
// awaited. A target may respond before it has read a longer one.
const maxInlineBodyBytes = 32 << 10

// Target is the client of the target beside a node. It is safe for concurrent
// use.
type Target struct {
	cfg TargetConfig

	mu sync.Mutex
	// idle holds free connections, the most recently used one last.
	idle  []*targetConn
	dials uint64
}

// NewTarget returns a client without connections.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{cfg: cfg.withDefaults()}
}

// Dials returns the number of connections opened so far.
func (t *Target) Dials() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dials
}

// Do sends a request to the target with the given ID and returns the whole
// response. It is sent once at most. When ctx ends, the connection is closed,
// which makes most targets drop the request. The run state of the error is
// not-run until the first byte was written.
func (t *Target) Do(ctx context.Context, call *message.Call, targetID string) (*TargetResponse, *kind.Error) {
	p := &pendingRequest{id: call.ID, method: call.Method, done: make(chan struct{})}
	conn, failure := t.acquire(ctx, p)
	if failure != nil {
		return nil, failure
	}
	head := t.appendRequest(nil, call, targetID)
	if len(call.Body) <= maxInlineBodyBytes {
		if failure := conn.write(head, call.Body); failure != nil {
			return nil, failure
		}
	} else {
		go conn.write(head, call.Body)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		conn.fail(ctx.Err())
		<-p.done
	}
	if p.err != nil {
		return nil, errorOf(ctx, p.err)
	}
	if p.reusable && len(call.Body) <= maxInlineBodyBytes {
		t.release(conn)
	} else {
		conn.fail(net.ErrClosed)
	}
	return t.response(p)
}

// write sends one request. The error is not-run: no byte of it was sent. When
// the connection fails later, the reader reports it.
func (c *targetConn) write(head, body []byte) *kind.Error {
	parts := net.Buffers{head, body}
	n, err := parts.WriteTo(c.nc)
	if err == nil {
		return nil
	}
	c.fail(err)
	if n == 0 {
		return kind.Newf(kind.DialFailed, "the connection to the target ended before the request was sent: %v", err)
	}
	return nil
}

func errorOf(ctx context.Context, err error) *kind.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return kind.New(kind.DeadlineExpired, "no response of the target before the deadline")
	case ctx.Err() != nil:
		return kind.New(kind.Canceled, "the caller left while the target was working")
	}
	return kind.Newf(kind.AnswerTruncated, "the connection to the target ended before its response was complete: %v", err)
}

// acquire returns a connection that is busy with p.
func (t *Target) acquire(ctx context.Context, p *pendingRequest) (*targetConn, *kind.Error) {
	now := time.Now()
	for {
		t.mu.Lock()
		n := len(t.idle)
		if n == 0 {
			t.dials++
			t.mu.Unlock()
			break
		}
		conn := t.idle[n-1]
		t.idle = t.idle[:n-1]
		t.mu.Unlock()
		if conn.usable(now) && conn.begin(p) {
			return conn, nil
		}
		conn.fail(net.ErrClosed)
	}
	dialer := net.Dialer{Timeout: t.cfg.DialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", t.cfg.Address)
	if err != nil {
		return nil, kind.Newf(kind.DialFailed, "target %s: %v", t.cfg.Address, err)
	}
	conn := newTargetConn(nc, &t.cfg)
	if !conn.begin(p) {
		return nil, kind.Newf(kind.DialFailed, "target %s closed a new connection", t.cfg.Address)
	}
	return conn, nil
}

func (t *Target) release(conn *targetConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, conn)
}

// Trim closes idle connections that are no longer usable.
func (t *Target) Trim(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.idle[:0]
	for _, c := range t.idle {
		if c.usable(now) {
			kept = append(kept, c)
		} else {
			c.fail(net.ErrClosed)
		}
	}
	t.idle = kept
}

// CloseIdle closes all idle connections.
func (t *Target) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		c.fail(net.ErrClosed)
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

// response checks a response of the target.
func (t *Target) response(p *pendingRequest) (*TargetResponse, *kind.Error) {
	names := &t.cfg.Names
	h := p.response.Header
	r := &TargetResponse{
		Response: message.Response{
			Status: p.response.StatusCode, Body: p.body, FromTarget: true,
			Header: endToEndFields(h, names.RequestID, names.TargetLoad, names.TargetID),
		},
		NotRun:      h.Get(names.NotRun) != "",
		OtherTarget: p.response.StatusCode == http.StatusMisdirectedRequest,
		Load:        parseTargetLoad(h.Get(names.TargetLoad)),
	}
	if !r.NotRun && !r.OtherTarget && h.Get(names.Seal) == "" {
		return nil, kind.Newf(kind.AnswerMismatched, "a response with status %d bears no seal of a target", r.Status)
	}
	return r, nil
}

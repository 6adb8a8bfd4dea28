package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxExtraResponses bounds the responses to other requests that are skipped on
// one connection before it is given up.
const maxExtraResponses = 4

// targetConn is one connection to a target. A goroutine always reads from it,
// so that the target's close and unexpected bytes are noticed between requests.
type targetConn struct {
	nc  net.Conn
	br  *bufio.Reader
	cfg *TargetConfig

	mu sync.Mutex
	// waiting is the request in progress, nil when the connection is idle.
	waiting *pendingRequest
	closed  bool
	// idleSince is when the last response ended, keepAlive how long the target
	// keeps an idle connection; 0 means that it did not say.
	idleSince time.Time
	keepAlive time.Duration
}

// pendingRequest is a request whose response is awaited.
type pendingRequest struct {
	id       string
	method   string
	response *http.Response
	body     []byte
	// reusable reports that the connection can carry another request.
	reusable bool
	err      error
	done     chan struct{}
}

var errUnexpectedBytes = errors.New("the target sent bytes that belong to no request")

func newTargetConn(nc net.Conn, cfg *TargetConfig) *targetConn {
	c := &targetConn{nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), cfg: cfg}
	go c.read()
	return c
}

// begin makes the connection busy; it reports false when it has ended.
func (c *targetConn) begin(p *pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.waiting = p
	return true
}

// read delivers responses until the connection ends.
func (c *targetConn) read() {
	extra := 0
	for {
		if _, err := c.br.Peek(1); err != nil {
			c.fail(err)
			return
		}
		p := c.pending()
		if p == nil {
			c.fail(errUnexpectedBytes)
			return
		}
		response, err := http.ReadResponse(c.br, &http.Request{Method: p.method})
		if err != nil {
			c.fail(err)
			return
		}
		if response.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, int64(c.cfg.MaxBodyBytes)+1))
		if err == nil && len(body) > c.cfg.MaxBodyBytes {
			err = errTooLarge
		}
		if err != nil {
			c.fail(err)
			return
		}
		if id := response.Header.Get(c.cfg.Names.RequestID); id != p.id {
			// A late or repeated response to an earlier request.
			if extra++; extra > maxExtraResponses || response.Close {
				c.fail(errUnexpectedBytes)
				return
			}
			continue
		}
		if !c.deliver(p, response, body, extra == 0) {
			return
		}
	}
}

func (c *targetConn) pending() *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// deliver ends a request with its response and reports whether the connection
// can be used again.
func (c *targetConn) deliver(p *pendingRequest, response *http.Response, body []byte, clean bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.waiting = nil
	c.idleSince = time.Now()
	c.keepAlive = keepAliveTimeout(response.Header.Get("Keep-Alive"))
	p.response, p.body, p.reusable = response, body, clean && !response.Close
	if !p.reusable {
		c.closed = true
		_ = c.nc.Close()
	}
	close(p.done)
	return p.reusable
}

// fail closes the connection and ends the request in progress with an error.
func (c *targetConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	_ = c.nc.Close()
	if p := c.waiting; p != nil {
		c.waiting = nil
		p.err = err
		close(p.done)
	}
}

// usable reports whether an idle connection will outlast a request that is
// written now.
func (c *targetConn) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.idleSince)
	return !c.closed && idle < c.cfg.MaxIdle && (c.keepAlive == 0 || idle < c.keepAlive-idleMargin)
}

// keepAliveTimeout returns the timeout of a Keep-Alive field, or 0.
func keepAliveTimeout(text string) time.Duration {
	for _, part := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

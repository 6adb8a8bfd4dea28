package httpconn

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/internal/httphead"
)

const (
	// maxExtraResponses is how many responses to other requests are skipped on a
	// connection before it is closed.
	maxExtraResponses = 4
	// maxRefusedIDs is how many requests may be refused on a connection before it is
	// closed.
	maxRefusedIDs = 32
	// maxInterimResponses is how many responses with a status below 200 may precede
	// the final one.
	maxInterimResponses = 8
)

// targetConn is a connection to a target. A goroutine reads from it at all times to
// detect a close or unexpected bytes between requests.
type targetConn struct {
	nc net.Conn
	// limitedReader bounds what is read for the head of a response.
	limitedReader *io.LimitedReader
	br            *bufio.Reader
	cfg           *TargetConfig

	mu sync.Mutex
	// current is the request in progress, nil when the connection is idle.
	current *pendingRequest
	closed  bool
	// idleSince is the time of the last response, or of the dial. keepAlive is how long the target
	// keeps an idle connection open, 0 if the target does not state it.
	idleSince time.Time
	keepAlive time.Duration
	// refused holds the IDs of the requests that the target has refused on this
	// connection.
	refused []string
}

// pendingRequest is a request that waits for its response.
type pendingRequest struct {
	id       string
	method   string
	response *http.Response
	body     []byte
	// bodyMemory is the memory that body takes up.
	bodyMemory *bytebudget.Reservation
	// reusable reports that the connection can carry another request.
	reusable bool
	err      error
	done     chan struct{}
}

var (
	errUnexpectedBytes         = errors.New("the target sent bytes that match no request")
	errHeadTooLarge            = errors.New("the head of the response exceeds the size limit")
	errBodyWithoutEnd          = errors.New("the body has no announced length and no end within the limits")
	errTooManyInterimResponses = errors.New("the target sends interim responses without end")
)

func newTargetConn(nc net.Conn, cfg *TargetConfig) *targetConn {
	limited := &io.LimitedReader{R: nc, N: math.MaxInt64}
	c := &targetConn{nc: nc, limitedReader: limited, br: bufio.NewReaderSize(limited, readBufferBytes), cfg: cfg, idleSince: time.Now()}
	go c.readResponses()
	return c
}

// startRequest makes p the current request; it returns false if the connection is
// closed.
func (c *targetConn) startRequest(p *pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.current = p
	return true
}

// readResponses reads and delivers responses until the connection ends.
func (c *targetConn) readResponses() {
	extra := 0
	for {
		if _, err := c.br.Peek(1); err != nil {
			c.closeWithError(err)
			return
		}
		p := c.currentRequest()
		if p == nil {
			c.closeWithError(errUnexpectedBytes)
			return
		}
		response, body, memory, err := c.readResponse(p.method)
		if err != nil {
			c.closeWithError(err)
			return
		}
		if id := response.Header.Get(c.cfg.Names.RequestID); id != p.id {
			// A late or repeated response to an earlier request.
			memory.Release()
			if extra++; extra > maxExtraResponses || response.Close {
				c.closeWithError(errUnexpectedBytes)
				return
			}
			continue
		}
		p.bodyMemory = memory
		if !c.deliver(p, response, body, extra == 0) {
			return
		}
	}
}

// readResponse reads one final response and the interim ones before it.
func (c *targetConn) readResponse(method string) (*http.Response, []byte, *bytebudget.Reservation, error) {
	for range maxInterimResponses + 1 {
		c.limitedReader.N = int64(c.cfg.MaxHeadBytes)
		response, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if c.limitedReader.N <= 0 {
			return nil, nil, nil, errHeadTooLarge
		}
		c.limitedReader.N = math.MaxInt64
		if err != nil {
			return nil, nil, nil, err
		}
		if err := httphead.CheckHTTP1Response(response); err != nil {
			return nil, nil, nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, memory, err := bytebudget.ReadBody(response.Body, response.ContentLength, c.cfg.MaxBodyBytes, c.cfg.BodyMemory)
		overLimit := errors.Is(err, bytebudget.ErrTooLarge) || errors.Is(err, bytebudget.ErrExhausted)
		if overLimit && response.ContentLength < 0 {
			err = errBodyWithoutEnd
		}
		if err == nil {
			if err = httphead.CheckFields(response.Trailer); err != nil {
				memory.Release()
			}
		}
		return response, body, memory, err
	}
	return nil, nil, nil, errTooManyInterimResponses
}

func (c *targetConn) currentRequest() *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// deliver completes p with its response and reports whether the connection can
// carry another request.
func (c *targetConn) deliver(p *pendingRequest, response *http.Response, body []byte, noExtraResponses bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.current = nil
	c.idleSince = time.Now()
	c.keepAlive = keepAliveTimeout(response.Header.Get("Keep-Alive"))
	p.response, p.body, p.reusable = response, body, noExtraResponses && !response.Close
	if !p.reusable {
		c.closed = true
		_ = c.nc.Close()
	}
	close(p.done)
	return p.reusable
}

// closeWithError closes the connection and completes the current request with err.
func (c *targetConn) closeWithError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	_ = c.nc.Close()
	if p := c.current; p != nil {
		c.current = nil
		p.err = err
		close(p.done)
	}
}

// recordRefusal records that the target has refused a request on this connection. It
// reports false if the connection should carry no further ones.
func (c *targetConn) recordRefusal(requestID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, requestID)
	return len(c.refused) < maxRefusedIDs
}

// hasRefused reports whether the target has refused a request on this connection.
func (c *targetConn) hasRefused(requestID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.refused, requestID)
}

// usable reports whether an idle connection is expected to stay open long enough
// for a request that is written now.
func (c *targetConn) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.idleSince)
	return !c.closed && idle < c.cfg.IdleTimeout && (c.keepAlive == 0 || idle < c.keepAlive-keepAliveMargin)
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive field, or 0 if
// there is none.
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

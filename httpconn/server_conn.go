package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// maxPipelined bounds the requests of one connection in progress. Clients
	// that pipeline send a handful.
	maxPipelined = 32
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout and
	// defaultIdleTimeout hold until a configuration states other bounds.
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// bodyTimeout bounds how long a caller takes to send a body.
	bodyTimeout = 30 * time.Second
	// writeTimeout is how long a caller may leave a response unread.
	writeTimeout = 15 * time.Second
	// readBufferBytes is large enough for most requests.
	readBufferBytes = 4 << 10
	// lingerTimeout is how long the server reads on after it has closed its
	// sending side, so that bytes in transit do not reset the connection before
	// the caller has read the last response.
	lingerTimeout = 500 * time.Millisecond
)

var errTooLarge = errors.New("request exceeds the bound on its size")

// serverConn is one connection of a caller. A reader goroutine starts the
// requests, and a writer goroutine sends the responses in their order.
type serverConn struct {
	server *Server
	nc     net.Conn
	in     *io.LimitedReader
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// queue holds the exchanges in progress, in the order of the requests.
	queue    chan *exchange
	inFlight atomic.Int32
	// closing reports that the connection ends as soon as it is idle.
	closing atomic.Bool
}

func newServerConn(s *Server, nc net.Conn) *serverConn {
	c := &serverConn{server: s, nc: nc, in: &io.LimitedReader{R: nc}, queue: make(chan *exchange, maxPipelined)}
	c.br = bufio.NewReaderSize(c.in, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *serverConn) run() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	ended := c.read()
	close(c.queue)
	if !ended {
		// The last request is in progress; the caller may still leave.
		go c.watch()
	}
	<-written
	c.cancel()
	if !ended {
		c.linger()
	}
	_ = c.nc.Close()
	c.server.remove(c)
}

// read starts requests until the connection ends, then returns true, or until
// the one that is to be the last, then returns false.
func (c *serverConn) read() (ended bool) {
	for {
		limits := c.server.Limits()
		c.in.N = int64(orDefault(limits.HeaderBytes, defaultHeaderBytes) + readBufferBytes)
		idle := orDefault(limits.IdleTimeout, defaultIdleTimeout)
		if !c.awaitRequest(idle) {
			c.cancel()
			return true
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(orDefault(limits.HeaderTimeout, defaultHeaderTimeout)))
		request, status, err := c.readRequest(orDefault(limits.BodyBytes, defaultBodyBytes))
		x := &exchange{done: make(chan struct{})}
		if err != nil {
			if status == 0 {
				c.cancel()
				return true
			}
			if c.server.Malformed != nil {
				c.server.Malformed(c.nc.RemoteAddr().String(), err)
			}
			x.response, x.last = &message.Response{Status: status}, true
			close(x.done)
			c.queue <- x
			return false
		}
		_ = c.nc.SetReadDeadline(time.Time{})
		x.requestID = request.id
		x.last = request.close || c.server.isDraining()
		c.inFlight.Add(1)
		c.queue <- x
		go func() {
			x.response = c.server.Handle(c.ctx, request.message)
			close(x.done)
		}()
		if x.last {
			return false
		}
	}
}

// awaitRequest waits for the first byte of the next request. A connection is
// idle only while no request of it is in progress.
func (c *serverConn) awaitRequest(idle time.Duration) bool {
	for {
		if c.br.Buffered() > 0 {
			return true
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(idle))
		if c.closing.Load() && c.inFlight.Load() == 0 {
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || c.inFlight.Load() == 0 {
			return false
		}
	}
}

// watch cancels the context when a caller closes the connection while its last
// request is in progress.
func (c *serverConn) watch() {
	_ = c.nc.SetReadDeadline(time.Time{})
	buffer := make([]byte, 512)
	for {
		if _, err := c.nc.Read(buffer); err != nil {
			c.cancel()
			return
		}
	}
}

// linger closes the sending side, then waits until the context ends,
// lingerTimeout at most.
func (c *serverConn) linger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	select {
	case <-c.ctx.Done():
	case <-time.After(lingerTimeout):
	}
}

// closeIfIdle ends the connection if no request is in progress.
func (c *serverConn) closeIfIdle() {
	if c.inFlight.Load() == 0 {
		// The reader may be about to set a deadline of its own.
		c.closing.Store(true)
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

// write sends the responses in order until the queue is closed or the
// connection fails.
func (c *serverConn) write() {
	failed := false
	var buffer []byte
	for x := range c.queue {
		<-x.done
		c.inFlight.Add(-1)
		if failed || x.response == nil {
			continue
		}
		buffer = appendResponse(buffer[:0], &c.server.Names, x)
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		parts := net.Buffers{buffer, x.response.Body}
		if _, err := parts.WriteTo(c.nc); err != nil {
			// The caller has left, or does not read.
			failed = true
			c.cancel()
			_ = c.nc.Close()
		}
	}
}

// orDefault returns v, or the default when v is zero.
func orDefault[T int | time.Duration](v, byDefault T) T {
	if v <= 0 {
		return byDefault
	}
	return v
}

package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// maxPipelinedRequests bounds the requests in progress on one connection.
	// Clients that pipeline send only a few.
	maxPipelinedRequests = 32
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout and
	// defaultIdleTimeout apply until a configuration sets other limits.
	defaultHeaderBytes   = 64 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = time.Minute
	// bodyTimeout bounds the time a caller takes to send a body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the time a caller takes to read a response.
	writeTimeout = 15 * time.Second
	// readBufferBytes is large enough for most requests.
	readBufferBytes = 4 << 10
	// headBufferBytes is the size of the buffer through which a head is parsed that has
	// been read.
	headBufferBytes = 512
	// lingerTimeout is how long the server reads on after it has closed its
	// sending side, so that bytes in transit do not reset the connection before
	// the caller has read the last response.
	lingerTimeout = 500 * time.Millisecond
	// bodyMemoryRetryAfter is when a caller may repeat a request for whose body
	// there was no memory.
	bodyMemoryRetryAfter = 500 * time.Millisecond
)

var errTooLarge = errors.New("message exceeds the size limit")

// serverConn is a connection of a caller. A reader goroutine starts the requests,
// and a writer goroutine sends the responses in the order of the requests.
type serverConn struct {
	server        *Server
	nc            net.Conn
	limitedReader *io.LimitedReader
	br            *bufio.Reader
	// head holds the head of the request that is read, headReader parses it.
	head       []byte
	headReader *bufio.Reader
	ctx        context.Context
	cancel     context.CancelFunc
	// queue holds the exchanges in progress in request order.
	queue    chan *exchange
	inFlight atomic.Int32
	// idleMu guards awaiting and closeWhenIdle, and the read deadline while awaiting
	// is true.
	idleMu sync.Mutex
	// awaiting reports that the reader waits for the first byte of a request. Only
	// then may closeIfIdle set a deadline: later, it would end the reading of a
	// request, or look like a caller that has disconnected.
	awaiting bool
	// closeWhenIdle reports that the connection is closed once it is idle.
	closeWhenIdle bool
}

func newServerConn(s *Server, nc net.Conn) *serverConn {
	c := &serverConn{server: s, nc: nc, limitedReader: &io.LimitedReader{R: nc}, queue: make(chan *exchange, maxPipelinedRequests)}
	c.br = bufio.NewReaderSize(c.limitedReader, readBufferBytes)
	c.headReader = bufio.NewReaderSize(nil, headBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *serverConn) run() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses()
	}()
	ended := c.readRequests()
	close(c.queue)
	callerClosed := make(chan struct{})
	if !ended {
		// The caller may disconnect while the last request is in progress.
		go c.watchForClose(callerClosed)
	}
	<-written
	c.cancel()
	if !ended {
		c.linger(callerClosed)
	}
	_ = c.nc.Close()
	c.server.removeConn(c)
}

// readRequests reads requests and starts a handler for each. It returns true when
// the connection has ended, and false after the last request to be read from it.
func (c *serverConn) readRequests() (ended bool) {
	for {
		c.limitedReader.N = readBufferBytes
		if !c.awaitRequest() {
			c.cancel()
			return true
		}
		// A connection may have been idle for longer than the configuration has been in
		// force under which it was opened.
		limits := c.server.Limits()
		c.limitedReader.N = int64(orDefault(limits.HeaderBytes, defaultHeaderBytes) + readBufferBytes - c.br.Buffered())
		_ = c.nc.SetReadDeadline(time.Now().Add(orDefault(limits.HeaderTimeout, defaultHeaderTimeout)))
		request, status, err := c.readRequest(orDefault(limits.BodyBytes, defaultBodyBytes))
		x := &exchange{done: make(chan struct{})}
		if err != nil {
			if status == 0 {
				c.cancel()
				return true
			}
			if c.server.OnMalformed != nil {
				c.server.OnMalformed(c.nc.RemoteAddr().String(), err)
			}
			x.response, x.closeAfter = &message.Response{Status: status}, true
			if status == http.StatusServiceUnavailable {
				x.response.RetryAfter = bodyMemoryRetryAfter
			}
			close(x.done)
			c.inFlight.Add(1)
			c.queue <- x
			return false
		}
		_ = c.nc.SetReadDeadline(time.Time{})
		x.requestID, x.head = request.id, request.message.Method == http.MethodHead
		x.closeAfter = request.close || c.server.isDraining()
		c.inFlight.Add(1)
		c.queue <- x
		go func() {
			x.response = c.server.Handle(c.ctx, request.message)
			request.message.BodyMemory.Release()
			close(x.done)
		}()
		if x.closeAfter {
			return false
		}
	}
}

// awaitRequest waits for the first byte of the next request and reports whether it
// arrived. The idle timeout in force when it ends applies, and only while no request is in
// progress.
func (c *serverConn) awaitRequest() bool {
	idleSince := time.Now()
	for {
		if c.br.Buffered() > 0 {
			return true
		}
		idle := orDefault(c.server.Limits().IdleTimeout, defaultIdleTimeout)
		if !c.beginAwait(idleSince.Add(idle)) {
			return false
		}
		_, err := c.br.Peek(1)
		c.endAwait()
		if err == nil {
			return true
		}
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() {
			return false
		}
		if c.inFlight.Load() > 0 {
			idleSince = time.Now()
		}
	}
}

// beginAwait sets the read deadline for the first byte of a request. It returns false
// if the connection is idle and has to be closed.
func (c *serverConn) beginAwait(until time.Time) bool {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.inFlight.Load() == 0 && (c.closeWhenIdle || !time.Now().Before(until)) {
		return false
	}
	c.awaiting = true
	_ = c.nc.SetReadDeadline(until)
	return true
}

func (c *serverConn) endAwait() {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	c.awaiting = false
}

// watchForClose cancels the context when the caller closes the connection while its
// last request is in progress, and then closes callerClosed.
func (c *serverConn) watchForClose(callerClosed chan<- struct{}) {
	defer close(callerClosed)
	_ = c.nc.SetReadDeadline(time.Time{})
	buffer := make([]byte, 512)
	for {
		if _, err := c.nc.Read(buffer); err != nil {
			c.cancel()
			return
		}
	}
}

// linger closes the sending side, then waits until the caller has closed its own,
// but no longer than lingerTimeout.
func (c *serverConn) linger(callerClosed <-chan struct{}) {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	select {
	case <-callerClosed:
	case <-time.After(lingerTimeout):
	}
}

// closeIfIdle closes the connection if no request is in progress and none is being
// read.
func (c *serverConn) closeIfIdle() {
	c.idleMu.Lock()
	defer c.idleMu.Unlock()
	if c.inFlight.Load() > 0 {
		return
	}
	c.closeWhenIdle = true
	if c.awaiting {
		_ = c.nc.SetReadDeadline(time.Now())
	}
}

// writeResponses sends the responses in order until the queue is closed or the
// connection fails.
func (c *serverConn) writeResponses() {
	failed := false
	var head []byte
	for x := range c.queue {
		<-x.done
		c.inFlight.Add(-1)
		if x.response == nil {
			continue
		}
		if failed {
			x.response.BodyMemory.Release()
			continue
		}
		head = appendResponse(head[:0], &c.server.Names, x)
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		buffers := net.Buffers{head, x.body()}
		if _, err := buffers.WriteTo(c.nc); err != nil {
			// The caller has disconnected or does not read.
			failed = true
			c.cancel()
			_ = c.nc.Close()
		}
		x.response.BodyMemory.Release()
	}
}

// orDefault returns v if it is positive, otherwise defaultValue.
func orDefault[T int | time.Duration](v, defaultValue T) T {
	if v <= 0 {
		return defaultValue
	}
	return v
}

package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// raceTime is how long a test waits for a step that the corrected code does not take.
const raceTime = 200 * time.Millisecond

// pipeListener hands out in-memory connections. A write to one of them returns only
// when the other side has read all of it.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// servePipe starts a server and returns the caller's side of one connection to it.
// wrap may replace the server's side.
func servePipe(t *testing.T, handle Handler, wrap func(net.Conn) net.Conn) (*Server, net.Conn) {
	l := newPipeListener()
	s := &Server{Names: testNames, Handle: handle, Limits: func() routetable.Limits { return routetable.Limits{} }, DefaultTimeout: testTimeout}
	go s.Serve(l)
	caller, served := net.Pipe()
	t.Cleanup(func() { s.Stop(); caller.Close() })
	l.conns <- wrap(served)
	require.Eventually(t, func() bool { return s.Connections() == 1 }, testTimeout, time.Millisecond)
	return s, caller
}

// Guards against a draining node that takes a connection for idle while a request
// arrives on it, and closes it when a part of the request has been read.
func TestCloseIdleLeavesRequestThatIsBeingRead(t *testing.T) {
	s, caller := servePipe(t, echo, func(c net.Conn) net.Conn { return c })
	s.Drain()
	text := getRequest("a")
	// The second write returns when the reader has set its deadline for the header.
	for _, part := range []string{text[:1], text[1:10]} {
		_, err := io.WriteString(caller, part)
		require.NoError(t, err)
	}
	s.CloseIdle()
	go io.WriteString(caller, text[10:])
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// slowDeadlineConn delays a deadline that is due at once until proceed is closed, as
// happens when the goroutine that sets it is descheduled.
type slowDeadlineConn struct {
	net.Conn
	// awaiting reports that the reader has set the deadline of a first request.
	awaiting atomic.Bool
	reached  atomic.Bool
	proceed  chan struct{}
}

func (c *slowDeadlineConn) SetReadDeadline(deadline time.Time) error {
	if deadline.After(time.Now()) {
		c.awaiting.Store(true)
	} else if !deadline.IsZero() {
		c.reached.Store(true)
		<-c.proceed
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Guards against a draining node that cancels a request at work: the end of an idle
// connection and the first byte of its last request may coincide, and the deadline
// meant for the idle connection then looks like a caller that has disconnected.
func TestCloseIdleDoesNotCancelRequestThatHasJustBegun(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	conn := &slowDeadlineConn{proceed: make(chan struct{})}
	s, caller := servePipe(t, func(ctx context.Context, r *message.Request) *message.Response {
		close(started)
		select {
		case <-ctx.Done():
			return &message.Response{Status: http.StatusBadGateway}
		case <-release:
			return echo(ctx, r)
		}
	}, func(c net.Conn) net.Conn { conn.Conn = c; return conn })
	s.Drain()
	// Before that, a connection that is to be closed when idle is closed at once.
	require.Eventually(t, conn.awaiting.Load, testTimeout, time.Millisecond)
	closing := make(chan struct{})
	go func() {
		defer close(closing)
		for !conn.reached.Load() {
			s.CloseIdle()
		}
	}()
	require.Eventually(t, conn.reached.Load, testTimeout, time.Millisecond)
	_, err := io.WriteString(caller, getRequest("a"))
	require.NoError(t, err)
	select {
	case <-started:
	case <-time.After(raceTime):
	}
	close(conn.proceed)
	<-closing
	<-started
	time.AfterFunc(raceTime, func() { close(release) })
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a draining node that closes a connection at once after its last
// response: bytes that the caller still sends would reset the connection before the
// caller has read the response.
func TestCloseIdleLeavesConnectionAfterLastResponse(t *testing.T) {
	conn := &slowDeadlineConn{proceed: make(chan struct{})}
	close(conn.proceed)
	s, caller := servePipe(t, echo, func(c net.Conn) net.Conn { conn.Conn = c; return conn })
	s.Drain()
	go io.WriteString(caller, getRequest("a"))
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	s.CloseIdle()
	require.False(t, conn.reached.Load(), "a deadline ends the wait for the caller's close")
}

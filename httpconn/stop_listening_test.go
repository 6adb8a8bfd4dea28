package httpconn

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// lateListener returns its connection only after it has been closed, as if the
// goroutine that accepts connections had been descheduled in between.
type lateListener struct {
	conn   net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	time.Sleep(raceTime)
	c := l.conn
	l.conn = nil
	return c, nil
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a node that ends while it reads a request: a connection accepted
// when the listener is closed is not counted yet, so that the drain seems complete.
func TestStopListeningCountsLastConnection(t *testing.T) {
	caller, served := net.Pipe()
	defer caller.Close()
	l := &lateListener{conn: served, closed: make(chan struct{})}
	s := &Server{Names: testNames, Handle: echo, Limits: func() routetable.Limits { return routetable.Limits{} }, DefaultTimeout: testTimeout}
	go s.Serve(l)
	defer s.Stop()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.listener != nil }, testTimeout, time.Millisecond)
	s.StopListening()
	require.Equal(t, 1, s.Connections())
}

// Guards against a listener that stays open, and keeps its address, because the server
// is stopped before the goroutine that serves it has run.
func TestStopBeforeServeClosesListener(t *testing.T) {
	l := &lateListener{closed: make(chan struct{})}
	s := &Server{Names: testNames, Handle: echo, DefaultTimeout: testTimeout}
	s.Stop()
	go s.Serve(l)
	select {
	case <-l.closed:
	case <-time.After(testTimeout):
		require.Fail(t, "the listener stays open")
	}
}

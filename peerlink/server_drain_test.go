package peerlink

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lateListener returns its connection only after it has been closed, as if the
// goroutine that accepts connections had been descheduled in between.
type lateListener struct {
	conn   net.Conn
	closed chan struct{}
	once   sync.Once
}

// lateTime is how late a connection is accepted after the listener was closed.
const lateTime = 100 * time.Millisecond

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	time.Sleep(lateTime)
	c := l.conn
	l.conn = nil
	return c, nil
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a peer that is not told of the node's end and goes on sending
// calls, because its connection is accepted when the listener is closed.
func TestDrainTellsPeerAcceptedLast(t *testing.T) {
	peer, served := net.Pipe()
	defer peer.Close()
	s := &Server{}
	go s.Serve(&lateListener{conn: served, closed: make(chan struct{})})
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.listener != nil }, testTimeout, time.Millisecond)
	drained := make(chan struct{})
	go func() {
		s.Drain(testTimeout)
		close(drained)
	}()
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(testTimeout)))
	f, err := readFrame(bufio.NewReader(peer), nil)
	require.NoError(t, err)
	require.Equal(t, frameGoAway, f.kind)
	select {
	case <-drained:
		t.Fatal("the drain ends before the peer has closed its connection")
	default:
	}
	require.NoError(t, peer.Close())
	<-drained
}

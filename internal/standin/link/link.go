// Package link is a stand-in for the network between two processes: a TCP
// forwarder whose connections can be cut or go silent.
package link

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Link forwards connections from its address to another one.
type Link struct {
	listener net.Listener
	silent   atomic.Int64
	mu       sync.Mutex
	to       string
	open     map[net.Conn]struct{}
	closed   bool
	// undialed is closed when connections may be opened; nil means that they
	// may.
	undialed chan struct{}
}

// New listens on a free loopback port and forwards to the given address.
func New(to string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, to: to, open: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Redirect makes connections opened later go to another address. Open
// connections stay as they are.
func (l *Link) Redirect(to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.to = to
}

// HoldDial delays new connections until the returned function is called, for a
// link that is made before its destination. It must not be called again before
// that.
func (l *Link) HoldDial() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	undialed := make(chan struct{})
	l.undialed = undialed
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.undialed = nil
		close(undialed)
	})
}

// dial opens a connection to the destination.
func (l *Link) dial() (net.Conn, error) {
	l.mu.Lock()
	undialed := l.undialed
	l.mu.Unlock()
	if undialed != nil {
		<-undialed
	}
	l.mu.Lock()
	to := l.to
	l.mu.Unlock()
	return net.Dial("tcp", to)
}

// Silence makes all open connections stop carrying bytes without closing
// them. Connections opened later work.
func (l *Link) Silence() { l.silent.Add(1) }

// Cut closes all open connections.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.Close()
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listener.Close()
	l.Cut()
}

func (l *Link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		out, err := l.dial()
		if err != nil {
			in.Close()
			continue
		}
		if !l.track(in, out) {
			return
		}
		generation := l.silent.Load()
		go l.copy(in, out, generation)
		go l.copy(out, in, generation)
	}
}

func (l *Link) track(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		if l.closed {
			c.Close()
			continue
		}
		l.open[c] = struct{}{}
	}
	return !l.closed
}

// copy forwards bytes. After Silence it keeps reading and drops what it reads,
// so that the sender sees an open connection.
func (l *Link) copy(to, from net.Conn, generation int64) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.silent.Load() == generation && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if l.silent.Load() != generation && err == io.EOF {
			// A silent connection does not pass on the end of the stream either.
			return
		}
		break
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, from)
	delete(l.open, to)
	from.Close()
	to.Close()
}

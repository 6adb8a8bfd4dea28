// Package link is a stand-in for the network between two processes: a TCP
// forwarder whose connections can be cut or go silent.
package link

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Trouble is what a link does to bytes until it is told otherwise.
type Trouble struct {
	// Delay holds back each piece that is read.
	Delay time.Duration
	// DropForward and DropBackward lose the bytes to the destination and from
	// it. A connection that has lost bytes carries none in that direction again.
	DropForward, DropBackward bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Link forwards connections from its address to another one.
type Link struct {
	listener net.Listener
	silent   atomic.Int64
	trouble  atomic.Pointer[Trouble]
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

// SetTrouble replaces what the link does to the bytes of all connections.
func (l *Link) SetTrouble(t Trouble) { l.trouble.Store(&t) }

func (l *Link) currentTrouble() Trouble {
	if t := l.trouble.Load(); t != nil {
		return *t
	}
	return Trouble{}
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
		if l.currentTrouble().Refuse {
			in.Close()
			continue
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
		go l.copy(in, out, generation, func(t Trouble) bool { return t.DropBackward })
		go l.copy(out, in, generation, func(t Trouble) bool { return t.DropForward })
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

// copy forwards bytes. After Silence, or once it has dropped some, it keeps
// reading and drops what it reads, so that the sender sees an open connection.
func (l *Link) copy(to, from net.Conn, generation int64, drops func(Trouble) bool) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		trouble := l.currentTrouble()
		time.Sleep(trouble.Delay)
		lost = lost || drops(trouble) && n > 0
		if !lost && l.silent.Load() == generation && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if (lost || l.silent.Load() != generation) && err == io.EOF {
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

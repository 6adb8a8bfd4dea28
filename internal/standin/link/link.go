// Package link is a stand-in for the network between two processes: a TCP
// forwarder whose connections can be closed, stalled, delayed or made to lose bytes.
package link

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Impairment is the set of faults that a link applies to its connections.
type Impairment struct {
	// Delay is added before each chunk that was read is forwarded.
	Delay time.Duration
	// DropForward and DropBackward discard the bytes to and from the
	// destination. Once a connection has lost bytes in a direction, it forwards
	// none in that direction again.
	DropForward, DropBackward bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Link forwards connections from its address to a destination.
type Link struct {
	listener net.Listener
	// stalls counts the calls of StallConnections. A connection that was
	// accepted at a lower count is stalled.
	stalls      atomic.Int64
	impairment  atomic.Pointer[Impairment]
	mu          sync.Mutex
	destination string
	connections map[net.Conn]struct{}
	closed      bool
	// dialAllowed is closed when new connections may be dialed; nil allows them.
	dialAllowed chan struct{}
}

// New listens on a free loopback port and forwards to the given address.
func New(destination string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, destination: destination, connections: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Redirect changes the destination of new connections. Open connections keep
// theirs.
func (l *Link) Redirect(destination string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.destination = destination
}

// HoldNewConnections delays new connections until the returned function is called,
// for a link that is created before its destination. It must not be called again
// before that.
func (l *Link) HoldNewConnections() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dialAllowed := make(chan struct{})
	l.dialAllowed = dialAllowed
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dialAllowed = nil
		close(dialAllowed)
	})
}

// dial connects to the destination, after dialing is allowed.
func (l *Link) dial() (net.Conn, error) {
	l.mu.Lock()
	dialAllowed := l.dialAllowed
	l.mu.Unlock()
	if dialAllowed != nil {
		<-dialAllowed
	}
	l.mu.Lock()
	destination := l.destination
	l.mu.Unlock()
	return net.Dial("tcp", destination)
}

// SetImpairment replaces the impairment of all connections.
func (l *Link) SetImpairment(t Impairment) { l.impairment.Store(&t) }

func (l *Link) currentImpairment() Impairment {
	if t := l.impairment.Load(); t != nil {
		return *t
	}
	return Impairment{}
}

// StallConnections stops forwarding on all open connections without closing
// them. New connections are not affected.
func (l *Link) StallConnections() { l.stalls.Add(1) }

// CloseConnections closes all open connections.
func (l *Link) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.Close()
	}
}

// ResetConnections resets all open connections, in both directions. After an orderly
// close, a response without a length would be complete (RFC 9112, section 6.3).
func (l *Link) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		reset(c)
	}
}

// reset closes a connection so that its peer sees a reset, also behind bytes in transit.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// Close closes the listener and all connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listener.Close()
	l.CloseConnections()
}

func (l *Link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.currentImpairment().Refuse {
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
		acceptedAtStalls := l.stalls.Load()
		go l.copy(in, out, acceptedAtStalls, func(t Impairment) bool { return t.DropBackward })
		go l.copy(out, in, acceptedAtStalls, func(t Impairment) bool { return t.DropForward })
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
		l.connections[c] = struct{}{}
	}
	return !l.closed
}

// copy forwards bytes. After StallConnections, or once it has dropped bytes, it
// keeps reading and discards the data, so that the sender sees an open
// connection.
func (l *Link) copy(to, from net.Conn, acceptedAtStalls int64, drops func(Impairment) bool) {
	buffer := make([]byte, 32<<10)
	lost, orderly := false, false
	for {
		n, err := from.Read(buffer)
		impairment := l.currentImpairment()
		time.Sleep(impairment.Delay)
		lost = lost || drops(impairment) && n > 0
		if !lost && l.stalls.Load() == acceptedAtStalls && n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if (lost || l.stalls.Load() != acceptedAtStalls) && err == io.EOF {
			// A stalled connection does not forward the end of the stream either.
			return
		}
		orderly = err == io.EOF
		break
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, from)
	delete(l.connections, to)
	from.Close()
	if !orderly {
		// A reset is passed on as one.
		reset(to)
		return
	}
	to.Close()
}

package httpconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/acceptloop"
	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// Handler responds to one request. The context is canceled when the caller's
// connection ends.
type Handler func(ctx context.Context, r *message.Request) *message.Response

// Server accepts callers' connections. Its fields are set before Serve.
type Server struct {
	Names  HeaderNames
	Handle Handler
	// ParentOf returns the ID of the parent of the request with the given ID, or ""
	// if the parent cannot be derived from the ID. It may be nil.
	ParentOf func(id string) string
	// Limits returns the limits in force.
	Limits func() routetable.Limits
	// BodyMemory bounds the bodies of all requests together; nil means unlimited.
	BodyMemory *bytebudget.Budget
	// DefaultTimeout applies to requests that state no timeout.
	DefaultTimeout time.Duration
	// OnMalformed is called for each request that was rejected as malformed.
	OnMalformed func(remote string, err error)

	mu       sync.Mutex
	listener net.Listener
	// accepted is closed when no further connection is accepted.
	accepted chan struct{}
	conns    map[*serverConn]struct{}
	draining bool
	// stopped reports that StopListening has been called, perhaps before Serve.
	stopped bool
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	accepted := make(chan struct{})
	defer close(accepted)
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		_ = l.Close()
		return
	}
	s.listener, s.accepted = l, accepted
	s.conns = map[*serverConn]struct{}{}
	s.mu.Unlock()
	acceptloop.Run(l, func(nc net.Conn) {
		c := newServerConn(s, nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	})
}

// Drain closes each connection after the response to its next request.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// CloseIdle closes the connections that have no request in progress.
func (s *Server) CloseIdle() {
	for _, c := range s.openConns() {
		c.closeIfIdle()
	}
}

// StopListening closes the listener and leaves connections open. When it returns,
// Connections counts all that have been accepted.
func (s *Server) StopListening() {
	s.mu.Lock()
	s.stopped = true
	l, accepted := s.listener, s.accepted
	s.mu.Unlock()
	if l != nil {
		_ = l.Close()
		<-accepted
	}
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.StopListening()
	for _, c := range s.openConns() {
		_ = c.nc.Close()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) openConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

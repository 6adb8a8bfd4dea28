package peerlink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/acceptloop"
	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// Server serves the calls of other nodes.
type Server struct {
	// Handle runs one call. The context is canceled when the caller cancels the
	// call or its connection is closed.
	Handle func(ctx context.Context, c *message.Call) *message.Reply
	// Config returns the encoded configuration in force, or nil.
	Config func() []byte
	// Departures returns the encoded departures that this node knows of an instance.
	// It may be nil.
	Departures func(instance string) []byte
	// WatchConfig waits for a configuration newer than the given version, as long as
	// a follower is held. It may be nil.
	WatchConfig func(ctx context.Context, version uint64) WatchResult
	// BodyMemory bounds the bodies of all calls together; nil means unlimited.
	BodyMemory *bytebudget.Budget

	mu       sync.Mutex
	listener net.Listener
	// accepted is closed when no further connection is accepted.
	accepted chan struct{}
	conns    map[*conn]struct{}
	// stopped reports that the server has been stopped, perhaps before Serve.
	stopped bool
}

// Serve accepts connections on l until Stop is called.
func (s *Server) Serve(l net.Listener) {
	accepted := make(chan struct{})
	defer close(accepted)
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		_ = l.Close()
		return
	}
	s.listener, s.accepted, s.conns = l, accepted, map[*conn]struct{}{}
	s.mu.Unlock()
	acceptloop.Run(l, func(nc net.Conn) {
		c := newConn(nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serveConn(c)
	})
}

// goAwayInterval is how often Drain looks whether the peers have closed their
// connections.
const goAwayInterval = 5 * time.Millisecond

// Drain stops listening and tells all peers to send no further calls. It returns when
// they have closed their connections, or after the timeout. Until then calls that
// have crossed the message are served as before.
func (s *Server) Drain(timeout time.Duration) {
	s.stopListening()
	s.mu.Lock()
	for c := range s.conns {
		// A peer that does not read must not delay the others.
		go c.send(frame{kind: frameGoAway})
	}
	s.mu.Unlock()
	for end := time.Now().Add(timeout); time.Now().Before(end) && s.connections() > 0; {
		time.Sleep(goAwayInterval)
	}
}

// stopListening closes the listener. When it returns, conns holds all connections
// that have been accepted.
func (s *Server) stopListening() {
	s.mu.Lock()
	s.stopped = true
	l, accepted := s.listener, s.accepted
	s.mu.Unlock()
	if l != nil {
		_ = l.Close()
		<-accepted
	}
}

// connections returns the number of open connections.
func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.stopListening()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.close()
	}
}

func (s *Server) serveConn(c *conn) {
	var mu sync.Mutex
	cancels := map[uint64]context.CancelFunc{}
	defer func() {
		c.close()
		mu.Lock()
		for _, cancel := range cancels {
			cancel()
		}
		mu.Unlock()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	// begin returns the context of a request, which ends when the caller cancels it.
	begin := func(id uint64) (context.Context, func()) {
		ctx, cancel := context.WithCancel(context.Background())
		mu.Lock()
		defer mu.Unlock()
		cancels[id] = cancel
		return ctx, func() {
			mu.Lock()
			defer mu.Unlock()
			delete(cancels, id)
			cancel()
		}
	}
	for {
		f, err := readFrame(c.reader, s.BodyMemory)
		if err != nil {
			return
		}
		switch f.kind {
		case frameCall:
			call, err := decodeCall(f, &c.received, time.Now())
			if err != nil {
				return
			}
			if f.noRoom {
				c.send(frame{kind: frameReply, id: f.id, reply: &message.Reply{Failure: kind.New(kind.Shed, "the node beside the target has no memory left for the body").WithRun(kind.NotRun)}})
				continue
			}
			ctx, cancel := begin(f.id)
			go func() {
				reply := s.Handle(ctx, call)
				f.memory.Release()
				cancel()
				replyFrame := frame{kind: frameReply, id: f.id, reply: reply}
				if reply.Response != nil {
					replyFrame.body, replyFrame.memory = reply.Response.Body, reply.Response.BodyMemory
				}
				c.send(replyFrame)
			}()
		case frameCancel:
			mu.Lock()
			if cancel := cancels[f.id]; cancel != nil {
				cancel()
			}
			mu.Unlock()
		case framePing:
			c.send(frame{kind: framePong, id: f.id})
		case frameWatch:
			ctx, cancel := begin(f.id)
			go func() {
				defer cancel()
				c.send(s.serveWatch(ctx, f))
			}()
		case frameDeparturesRequest:
			response := frame{kind: frameDepartures, id: f.id}
			if s.Departures != nil {
				response.body = s.Departures(string(f.body))
			}
			c.send(response)
		case frameConfigRequest:
			c.send(frame{kind: frameConfig, id: f.id, body: s.Config()})
		}
	}
}

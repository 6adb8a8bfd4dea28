package peerlink

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// dialTimeout is many round trips between any two failure domains.
	dialTimeout = 500 * time.Millisecond
	// redialDelay is how long calls to an unreachable peer fail at once.
	redialDelay = 200 * time.Millisecond
	// pingAfter is how long nothing has arrived, while calls wait, when the
	// connection is probed, suspectAfter when idempotent calls look for another
	// peer, and silentAfter when it is given up. A lost packet is sent again after
	// 200 ms and once more after another 400 ms, and a peer whose processor share
	// is used up for a moment still answers within silentAfter.
	pingAfter    = 150 * time.Millisecond
	suspectAfter = 400 * time.Millisecond
	silentAfter  = time.Second
	// pongTime is how long a probe is given at least: this process may have been
	// the one that stood still.
	pongTime = 200 * time.Millisecond
)

var errSilent = errors.New("nothing arrived from the peer")

// Client sends calls to one peer. It is safe for concurrent use.
type Client struct {
	address string

	mu      sync.Mutex
	session *session
	// dialing is closed when the dial in progress ends.
	dialing  chan struct{}
	failedAt time.Time
	failure  error
}

// session is one connection to the peer and the calls that wait on it.
type session struct {
	*conn
	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]waiter
	heard   time.Time
	// pingedAt is when the connection was probed since then, or zero.
	pingedAt time.Time
	err      error
}

// waiter is a call that waits for its reply.
type waiter struct {
	answer chan frame
	// movable reports that the call may run elsewhere as well.
	movable bool
}

// NewClient returns a client that dials with the first call.
func NewClient(address string) *Client { return &Client{address: address} }

// Call sends a call and waits for the reply. The failure has run state not-run
// as long as nothing was sent. When ctx ends, the peer is told.
func (c *Client) Call(ctx context.Context, call *message.Call) (*message.Reply, *kind.Error) {
	s, failure := c.connect(ctx)
	if failure != nil {
		return nil, failure
	}
	f, failure := s.roundTrip(ctx, frame{kind: frameCall, call: call, body: call.Body})
	if failure != nil {
		return nil, failure
	}
	if f.reply == nil {
		s.fail(errFrame)
		return nil, kind.Newf(kind.PeerLost, "peer %s: %v", c.address, errFrame)
	}
	return f.reply, nil
}

// Config returns the encoded configuration of the peer, nil when it has none.
func (c *Client) Config(ctx context.Context) ([]byte, *kind.Error) {
	s, failure := c.connect(ctx)
	if failure != nil {
		return nil, failure
	}
	f, failure := s.roundTrip(ctx, frame{kind: frameConfigRequest})
	if failure != nil {
		return nil, failure
	}
	return f.body, nil
}

// check looks for a connection that has gone silent, and reports whether the
// peer is suspected to be gone.
func (c *Client) check(now time.Time) (suspect bool) {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	return s != nil && !s.ended() && s.check(now)
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		c.session.fail(net.ErrClosed)
	}
}

// connect returns the open session, or dials; calls that arrive meanwhile wait
// for the same dial.
func (c *Client) connect(ctx context.Context) (*session, *kind.Error) {
	for {
		c.mu.Lock()
		if c.session != nil && !c.session.ended() {
			s := c.session
			c.mu.Unlock()
			return s, nil
		}
		if c.failure != nil && time.Since(c.failedAt) < redialDelay {
			err := c.failure
			c.mu.Unlock()
			return nil, kind.Newf(kind.DialFailed, "peer %s: %v", c.address, err)
		}
		wait := c.dialing
		if wait == nil {
			wait = make(chan struct{})
			c.dialing = wait
			go c.dial(wait)
		}
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, kind.Newf(kind.DialFailed, "peer %s: %v", c.address, ctx.Err())
		}
	}
}

func (c *Client) dial(done chan struct{}) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := dialer.Dial("tcp", c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing = nil
	c.failure, c.failedAt = err, time.Now()
	if err == nil {
		s := &session{conn: newConn(nc), waiting: map[uint64]waiter{}, heard: time.Now()}
		c.session = s
		go s.read()
	}
	close(done)
}

func (s *session) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// roundTrip sends a message and waits for its answer.
func (s *session) roundTrip(ctx context.Context, f frame) (frame, *kind.Error) {
	answer := make(chan frame, 1)
	s.mu.Lock()
	if s.err != nil {
		s.mu.Unlock()
		return frame{}, kind.Newf(kind.DialFailed, "the connection to the peer has ended: %v", s.err)
	}
	if len(s.waiting) == 0 {
		s.heard, s.pingedAt = time.Now(), time.Time{}
	}
	s.nextID++
	f.id = s.nextID
	s.waiting[f.id] = waiter{answer: answer, movable: f.call != nil && !f.call.Unsafe}
	s.mu.Unlock()
	if !s.send(f) {
		s.forget(f.id)
		return frame{}, kind.New(kind.DialFailed, "the connection to the peer ended before the call was sent")
	}
	select {
	case got, ok := <-answer:
		if ok {
			return got, nil
		}
		s.mu.Lock()
		err := cmp.Or(s.err, errSilent)
		s.mu.Unlock()
		return frame{}, kind.Newf(kind.PeerLost, "no reply on the connection to the peer: %v", err)
	case <-ctx.Done():
		s.forget(f.id)
		s.send(frame{kind: frameCancel, id: f.id})
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return frame{}, kind.New(kind.DeadlineExpired, "no reply of the peer before the deadline")
		}
		return frame{}, kind.New(kind.Canceled, "the caller left while a peer was working")
	}
}

func (s *session) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}

func (s *session) read() {
	for {
		f, err := readFrame(s.br)
		if err == nil && f.kind == frameReply {
			f.reply, err = decodeReply(f, &s.in)
		}
		if err != nil {
			s.fail(err)
			return
		}
		s.mu.Lock()
		s.heard, s.pingedAt = time.Now(), time.Time{}
		w, waits := s.waiting[f.id]
		waits = waits && f.kind != framePong
		if waits {
			delete(s.waiting, f.id)
		}
		s.mu.Unlock()
		if waits {
			w.answer <- f
		}
	}
}

// check probes the connection while calls wait and nothing arrives. It reports
// whether the peer is suspected to be gone.
func (s *session) check(now time.Time) (suspect bool) {
	s.mu.Lock()
	quiet := now.Sub(s.heard)
	probed := !s.pingedAt.IsZero() && now.Sub(s.pingedAt) >= pongTime
	waits := len(s.waiting) > 0
	silent := quiet > silentAfter && probed
	suspect = quiet > suspectAfter && probed
	ping := waits && quiet > pingAfter && s.pingedAt.IsZero()
	if ping {
		s.pingedAt = now
	}
	s.mu.Unlock()
	switch {
	case silent:
		s.fail(errSilent)
	case suspect:
		s.moveCalls()
	case ping:
		s.send(frame{kind: framePing})
	}
	return suspect
}

// moveCalls ends the wait of the calls that may run elsewhere, and tells the
// peer, in case it is still there.
func (s *session) moveCalls() {
	s.mu.Lock()
	var moved []uint64
	for id, w := range s.waiting {
		if w.movable {
			moved = append(moved, id)
			delete(s.waiting, id)
			close(w.answer)
		}
	}
	s.mu.Unlock()
	for _, id := range moved {
		s.send(frame{kind: frameCancel, id: id})
	}
}

// fail ends the session and all calls that wait on it.
func (s *session) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	waiting := s.waiting
	s.waiting = map[uint64]waiter{}
	s.mu.Unlock()
	s.close()
	for _, w := range waiting {
		close(w.answer)
	}
}

package peerlink

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// dialTimeout far exceeds the round-trip time between any two failure domains.
	dialTimeout = 500 * time.Millisecond
	// redialDelay is how long calls fail without another dial after a failed one.
	redialDelay = 200 * time.Millisecond
	// While calls are pending and nothing is received, the connection is pinged
	// after pingAfter, its idempotent calls are failed so that they can be sent to
	// another peer after suspectAfter, and it is closed after closeAfter. TCP
	// retransmits a lost packet after 200 ms and again after another 400 ms, and a
	// peer that is briefly throttled by its CPU quota still responds within
	// closeAfter.
	pingAfter    = 150 * time.Millisecond
	suspectAfter = 400 * time.Millisecond
	closeAfter   = time.Second
	// minPongWait is the minimum time from a ping to the conclusion that the peer
	// does not respond. Pauses of this process do not count.
	minPongWait = 200 * time.Millisecond
)

var errUnresponsive = errors.New("peer did not respond to a ping")

// Client sends calls to one peer. It is safe for concurrent use.
type Client struct {
	address    string
	bodyMemory *bytebudget.Budget

	mu      sync.Mutex
	session *session
	// dialDone is closed when the dial in progress ends. It is nil without one.
	dialDone   chan struct{}
	lastDialAt time.Time
	dialErr    error
}

// session is one connection to the peer with its pending calls.
type session struct {
	*conn
	bodyMemory *bytebudget.Budget
	mu         sync.Mutex
	nextID     uint64
	pending    map[uint64]pendingCall
	// awaited counts the pending calls that the peer does not hold on purpose.
	awaited      int
	lastReceived time.Time
	// pingedAt is the time of the ping sent since lastReceived, or zero.
	pingedAt time.Time
	// closing reports that the session takes no new calls and is closed when none is
	// pending.
	closing bool
	err     error
}

// pendingCall is a call without a reply.
type pendingCall struct {
	reply chan frame
	// reroutable reports whether the call may also be sent to another peer.
	reroutable bool
	// held reports that the peer may hold the reply, so that silence says nothing.
	held bool
}

// NewClient returns a client that connects on the first call. bodyMemory bounds the
// bodies of the replies together with what else it counts; nil means unlimited.
func NewClient(address string, bodyMemory *bytebudget.Budget) *Client {
	return &Client{address: address, bodyMemory: bodyMemory}
}

// Call sends a call and waits for the reply. A failure before the call is sent has
// run state not-run. When ctx ends, the call is canceled at the peer.
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
		s.fail(errMalformedFrame)
		return nil, kind.Newf(kind.PeerLost, "peer %s: %v", c.address, errMalformedFrame)
	}
	return f.reply, nil
}

// Config returns the encoded configuration of the peer, or nil if it has none.
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

// Departures returns the encoded departures that the peer knows of an instance. A peer
// of an earlier version does not respond: ctx bounds the wait.
func (c *Client) Departures(ctx context.Context, instance string) ([]byte, *kind.Error) {
	s, failure := c.connect(ctx)
	if failure != nil {
		return nil, failure
	}
	f, failure := s.roundTrip(ctx, frame{kind: frameDeparturesRequest, body: []byte(instance)})
	if failure != nil {
		return nil, failure
	}
	return f.body, nil
}

// checkLiveness pings or closes a connection on which nothing is received, and
// reports whether the peer is suspected to have failed. pause is how long this
// process has been paused since the last check.
func (c *Client) checkLiveness(now time.Time, pause time.Duration) (suspect bool) {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	return s != nil && !s.ended() && s.checkLiveness(now, pause)
}

// Retire closes the connection once no call is pending. The calls that are pending
// get their replies, as far as the peer still sends them.
func (c *Client) Retire() {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	if s != nil {
		s.finish()
	}
}

// ended reports whether the client has no open connection.
func (c *Client) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialDone == nil && (c.session == nil || c.session.ended())
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		c.session.fail(net.ErrClosed)
	}
}

// connect returns the open session, or dials. Concurrent calls share one dial.
func (c *Client) connect(ctx context.Context) (*session, *kind.Error) {
	for {
		c.mu.Lock()
		if c.session != nil && c.session.open() {
			s := c.session
			c.mu.Unlock()
			return s, nil
		}
		if c.dialErr != nil && time.Since(c.lastDialAt) < redialDelay {
			err := c.dialErr
			c.mu.Unlock()
			return nil, kind.Newf(kind.DialFailed, "peer %s: %v", c.address, err)
		}
		dialDone := c.dialDone
		if dialDone == nil {
			dialDone = make(chan struct{})
			c.dialDone = dialDone
			go c.dial(dialDone)
		}
		c.mu.Unlock()
		select {
		case <-dialDone:
		case <-ctx.Done():
			return nil, kind.Newf(kind.DialFailed, "peer %s: %v", c.address, ctx.Err())
		}
	}
}

func (c *Client) dial(dialDone chan struct{}) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := dialer.Dial("tcp", c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialDone = nil
	c.dialErr, c.lastDialAt = err, time.Now()
	if err == nil {
		s := &session{conn: newConn(nc), pending: map[uint64]pendingCall{}, lastReceived: time.Now(), bodyMemory: c.bodyMemory}
		c.session = s
		go s.readLoop()
	}
	close(dialDone)
}

// open reports whether the session takes new calls.
func (s *session) open() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err == nil && !s.closing
}

// finish closes the session once no call is pending.
func (s *session) finish() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.closeIfFinished()
}

func (s *session) closeIfFinished() {
	s.mu.Lock()
	finished := s.closing && len(s.pending) == 0
	s.mu.Unlock()
	if finished {
		s.fail(net.ErrClosed)
	}
}

func (s *session) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// roundTrip sends a frame and waits for the frame that replies to it.
func (s *session) roundTrip(ctx context.Context, f frame) (frame, *kind.Error) {
	reply := make(chan frame, 1)
	s.mu.Lock()
	if s.err != nil || s.closing {
		err := cmp.Or(s.err, net.ErrClosed)
		s.mu.Unlock()
		return frame{}, kind.Newf(kind.DialFailed, "the connection to the peer is closed: %v", err)
	}
	held := f.kind == frameWatch
	if !held {
		if s.awaited == 0 {
			s.lastReceived, s.pingedAt = time.Now(), time.Time{}
		}
		s.awaited++
	}
	s.nextID++
	f.id = s.nextID
	s.pending[f.id] = pendingCall{reply: reply, reroutable: f.call != nil && !f.call.Unsafe, held: held}
	s.mu.Unlock()
	if !s.send(f) {
		s.removePending(f.id)
		return frame{}, kind.New(kind.DialFailed, "the connection to the peer was closed before the call was sent")
	}
	select {
	case got, ok := <-reply:
		if ok {
			return got, nil
		}
		s.mu.Lock()
		err := cmp.Or(s.err, errUnresponsive)
		s.mu.Unlock()
		return frame{}, kind.Newf(kind.PeerLost, "no reply on the connection to the peer: %v", err)
	case <-ctx.Done():
		s.removePending(f.id)
		s.send(frame{kind: frameCancel, id: f.id})
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return frame{}, kind.New(kind.DeadlineExpired, "no reply from the peer before the deadline")
		}
		return frame{}, kind.New(kind.Canceled, "the caller canceled the call before the peer replied")
	}
}

func (s *session) removePending(id uint64) {
	s.mu.Lock()
	s.takePendingLocked(id)
	s.mu.Unlock()
	s.closeIfFinished()
}

// takePendingLocked removes a pending call and returns it.
func (s *session) takePendingLocked(id uint64) (pendingCall, bool) {
	call, ok := s.pending[id]
	if ok {
		delete(s.pending, id)
		if !call.held {
			s.awaited--
		}
	}
	return call, ok
}

func (s *session) readLoop() {
	for {
		f, err := readFrame(s.reader, s.bodyMemory)
		if err == nil && f.kind == frameReply {
			f.reply, err = decodeReply(f, &s.received)
			if err == nil {
				rejectSpoiledHead(f.reply, f.memory)
				rejectDroppedBody(f)
			}
			if err == nil && f.reply.Response != nil {
				f.reply.Response.BodyMemory = f.memory
			}
		}
		if err != nil {
			s.fail(err)
			return
		}
		s.mu.Lock()
		s.lastReceived, s.pingedAt = time.Now(), time.Time{}
		var call pendingCall
		isPending := false
		if f.kind != framePong {
			call, isPending = s.takePendingLocked(f.id)
		}
		s.mu.Unlock()
		if isPending {
			call.reply <- f
		}
		if f.kind == frameGoAway {
			s.finish()
		} else {
			s.closeIfFinished()
		}
	}
}

// checkLiveness pings the peer while calls are pending and nothing is received. If
// the peer does not respond, it fails the reroutable calls and later closes the
// session. It reports whether the peer is suspected to have failed.
func (s *session) checkLiveness(now time.Time, pause time.Duration) (suspect bool) {
	s.mu.Lock()
	if pause > 0 {
		s.lastReceived = earlier(s.lastReceived.Add(pause), now)
		if !s.pingedAt.IsZero() {
			s.pingedAt = earlier(s.pingedAt.Add(pause), now)
		}
	}
	silence := now.Sub(s.lastReceived)
	pongOverdue := !s.pingedAt.IsZero() && now.Sub(s.pingedAt) >= minPongWait
	hasPending := s.awaited > 0
	unresponsive := silence > closeAfter && pongOverdue
	suspect = silence > suspectAfter && pongOverdue
	ping := hasPending && silence > pingAfter && s.pingedAt.IsZero()
	if ping {
		s.pingedAt = now
	}
	s.mu.Unlock()
	switch {
	case unresponsive:
		s.fail(errUnresponsive)
	case suspect:
		s.failReroutableCalls()
	case ping:
		s.send(frame{kind: framePing})
	}
	return suspect
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// failReroutableCalls fails the calls that may be sent to another peer, and
// cancels them at this peer in case it is still running.
func (s *session) failReroutableCalls() {
	s.mu.Lock()
	var removed []uint64
	for id, call := range s.pending {
		if call.reroutable {
			removed = append(removed, id)
			s.takePendingLocked(id)
			close(call.reply)
		}
	}
	s.mu.Unlock()
	for _, id := range removed {
		s.send(frame{kind: frameCancel, id: id})
	}
}

// fail closes the session and fails all pending calls.
func (s *session) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	pending := s.pending
	s.pending, s.awaited = map[uint64]pendingCall{}, 0
	s.mu.Unlock()
	s.close()
	for _, call := range pending {
		close(call.reply)
	}
}

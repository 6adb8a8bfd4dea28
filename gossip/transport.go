package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
)

const (
	// receiveBufferBytes exceeds the largest accepted datagram, so that oversized
	// ones are detected and dropped instead of being truncated.
	receiveBufferBytes = 64 << 10
	// readRetryDelay keeps readLoop from taking a whole core on a persistent
	// socket error.
	readRetryDelay = 10 * time.Millisecond
)

// Transport runs a membership node. Its methods are safe for concurrent use.
type Transport struct {
	conn     *net.UDPConn
	addr     netip.AddrPort
	delegate Delegate
	logger   hclog.Logger

	// mu guards node. It is held while effects are executed, so that they are
	// executed in the order of the steps that produced them.
	mu   sync.Mutex
	node *membership.Node

	resetTimer    chan struct{}
	notifications *notificationQueue
	leaveComplete chan struct{}
	stop          chan struct{}
	closeOnce     sync.Once
	wg            sync.WaitGroup
}

// Start binds the socket, starts the goroutines and begins to join the cluster.
// It returns a *kind.Error of kind settings-invalid if the configuration is
// invalid, or the error from binding the socket.
func Start(cfg Config) (*Transport, error) {
	if cfg.Delegate == nil {
		return nil, kind.New(kind.SettingsInvalid, "gossip configuration has no delegate")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, kind.Class.Wrap(err)
	}
	memberConfig := cfg.Membership
	if !memberConfig.Addr.IsValid() {
		bound := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		memberConfig.Addr = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	}
	if memberConfig.ID == uuid.Nil {
		memberConfig.ID = uuid.New()
	}
	node, err := membership.New(memberConfig, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	t := &Transport{
		conn: conn, addr: memberConfig.Addr, delegate: cfg.Delegate, logger: cfg.Logger, node: node,
		resetTimer:    make(chan struct{}, 1),
		notifications: newNotificationQueue(),
		leaveComplete: make(chan struct{}),
		stop:          make(chan struct{}),
	}
	if t.logger == nil {
		t.logger = hclog.NewNullLogger()
	}
	t.wg.Go(t.readLoop)
	t.wg.Go(t.timerLoop)
	t.wg.Go(t.notifyLoop)
	return t, nil
}

// step passes an event to the node and executes the resulting effects.
func (t *Transport) step(e membership.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, effect := range t.node.Step(time.Now(), e) {
		switch effect := effect.(type) {
		case membership.Send:
			// The protocol recovers from a failed send as from a lost datagram.
			if _, err := t.conn.WriteToUDPAddrPort(effect.Bytes, effect.To); err != nil && !errors.Is(err, net.ErrClosed) {
				t.logger.Debug("sending gossip datagram failed", "to", effect.To, "error", err)
			}
		case membership.LeaveComplete:
			close(t.leaveComplete)
		default:
			t.notifications.put(effect)
		}
	}
}

// handle steps the node and makes timerLoop reset its timer, since the event
// may have changed the time of the next tick. It ignores events after Close.
func (t *Transport) handle(e membership.Event) {
	select {
	case <-t.stop:
		return
	default:
	}
	t.step(e)
	select {
	case t.resetTimer <- struct{}{}:
	default:
	}
}

func (t *Transport) readLoop() {
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			t.logger.Warn("reading from the gossip socket failed", "error", err)
			select {
			case <-t.stop:
				return
			case <-time.After(readRetryDelay):
			}
			continue
		}
		t.handle(membership.Datagram{From: from, Bytes: buffer[:n]})
	}
}

func (t *Transport) timerLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-t.resetTimer:
		case <-timer.C:
			t.step(membership.Tick{})
		}
		t.mu.Lock()
		next := t.node.NextTick()
		t.mu.Unlock()
		timer.Reset(time.Until(next))
	}
}

func (t *Transport) notifyLoop() {
	for {
		select {
		case <-t.stop:
			return
		case <-t.notifications.ready:
			for _, e := range t.notifications.takeAll() {
				t.notifyDelegate(e)
			}
		}
	}
}

func (t *Transport) notifyDelegate(e membership.Effect) {
	switch e := e.(type) {
	case membership.MemberChanged:
		t.delegate.MemberChanged(e.Member)
	case membership.ConfigOffsetSeen:
		t.delegate.ConfigOffsetSeen(e.PeerAddr, e.Offset)
	case membership.BroadcastReceived:
		t.delegate.BroadcastReceived(e.Broadcast)
	}
}

// Addr returns the gossip address that this process advertises to other members.
func (t *Transport) Addr() netip.AddrPort { return t.addr }

// UpdateMeta replaces the metadata of this process.
func (t *Transport) UpdateMeta(m membership.Meta) { t.handle(membership.LocalUpdate{Meta: m}) }

// AddSeeds adds addresses of members through which the node joins the cluster.
func (t *Transport) AddSeeds(addrs []netip.AddrPort) { t.handle(membership.AddSeeds{Addrs: addrs}) }

// SetConfigOffset sets the configuration offset that this process advertises in
// its datagram headers.
func (t *Transport) SetConfigOffset(offset uint64) {
	t.handle(membership.SetConfigOffset{Offset: offset})
}

// Broadcast sends an application message to all members.
func (t *Transport) Broadcast(b membership.Broadcast) {
	t.handle(membership.LocalBroadcast{Broadcast: b})
}

// Broadcasts returns the application messages that have not expired, in no particular
// order.
func (t *Transport) Broadcasts() []membership.Broadcast {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.Broadcasts()
}

// Members returns a copy of the member table, including this process.
func (t *Transport) Members() []membership.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.Members()
}

// Self returns the member entry of this process.
func (t *Transport) Self() membership.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.Self()
}

// HighestConfigOffset returns the highest configuration offset seen and the
// peer address of the member that sent it; see membership.Node.
func (t *Transport) HighestConfigOffset() (offset uint64, from netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.HighestConfigOffset()
}

// Stats returns the counters of the membership node.
func (t *Transport) Stats() membership.Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.Stats()
}

// HealthScore returns the local health score; 0 is healthy.
func (t *Transport) HealthScore() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.HealthScore()
}

// Leave announces the departure of this process, waits until the announcement
// has been sent as often as the protocol requires or ctx ends, and closes the
// transport. It returns the error of ctx joined with that of Close.
func (t *Transport) Leave(ctx context.Context) error {
	t.handle(membership.Leave{})
	err := ctx.Err()
	if err != nil {
		return errors.Join(err, t.Close())
	}
	select {
	case <-t.leaveComplete:
	case <-t.stop:
	case <-ctx.Done():
		err = ctx.Err()
	}
	return errors.Join(err, t.Close())
}

// Close stops the transport without announcing the departure and waits for its
// goroutines to end.
func (t *Transport) Close() error {
	var err error
	t.closeOnce.Do(func() {
		close(t.stop)
		err = t.conn.Close()
	})
	t.wg.Wait()
	return err
}

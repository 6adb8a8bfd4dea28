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
	// receiveBuffer is larger than any accepted datagram, so that longer ones
	// are noticed and dropped.
	receiveBuffer = 64 << 10
	// readRetryDelay keeps a persistent socket error from taking a whole core.
	readRetryDelay = 10 * time.Millisecond
)

// Transport is a running membership node. Its methods are safe for concurrent use.
type Transport struct {
	conn     *net.UDPConn
	addr     netip.AddrPort
	delegate Delegate
	logger   hclog.Logger

	// mu guards node. Effects are carried out while it is held, so that their
	// order is that of the steps.
	mu   sync.Mutex
	node *membership.Node

	wake    chan struct{}
	changes *changeQueue
	left    chan struct{}
	stop    chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
}

// Start binds the socket, starts the goroutines and begins to join. It returns
// a *kind.Error of kind settings-invalid for a faulty configuration, or the
// error of binding the socket.
func Start(cfg Config) (*Transport, error) {
	if cfg.Delegate == nil {
		return nil, kind.New(kind.SettingsInvalid, "gossip needs a delegate")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, kind.Class.Wrap(err)
	}
	m := cfg.Membership
	if !m.Addr.IsValid() {
		bound := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		m.Addr = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	}
	if m.ID == uuid.Nil {
		m.ID = uuid.New()
	}
	node, err := membership.New(m, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	t := &Transport{
		conn: conn, addr: m.Addr, delegate: cfg.Delegate, logger: cfg.Logger, node: node,
		wake:    make(chan struct{}, 1),
		changes: newChangeQueue(),
		left:    make(chan struct{}),
		stop:    make(chan struct{}),
	}
	if t.logger == nil {
		t.logger = hclog.NewNullLogger()
	}
	t.wg.Go(t.read)
	t.wg.Go(t.tick)
	t.wg.Go(t.report)
	return t, nil
}

// step advances the node by one event and carries out the effects.
func (t *Transport) step(e membership.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, effect := range t.node.Step(time.Now(), e) {
		switch effect := effect.(type) {
		case membership.Send:
			// A failed send is like a lost datagram, which the protocol repeats.
			if _, err := t.conn.WriteToUDPAddrPort(effect.Bytes, effect.To); err != nil && !errors.Is(err, net.ErrClosed) {
				t.logger.Debug("datagram not sent", "to", effect.To, "error", err)
			}
		case membership.LeaveComplete:
			close(t.left)
		default:
			t.changes.put(effect)
		}
	}
}

// local handles an event of this process and lets the timer take notice.
func (t *Transport) local(e membership.Event) {
	select {
	case <-t.stop:
		return
	default:
	}
	t.step(e)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Transport) read() {
	buffer := make([]byte, receiveBuffer)
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
		t.local(membership.Datagram{From: from, Bytes: buffer[:n]})
	}
}

func (t *Transport) tick() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-t.wake:
		case <-timer.C:
			t.step(membership.Tick{})
		}
		t.mu.Lock()
		next := t.node.NextTick()
		t.mu.Unlock()
		timer.Reset(time.Until(next))
	}
}

func (t *Transport) report() {
	for {
		select {
		case <-t.stop:
			return
		case <-t.changes.ready:
			for _, e := range t.changes.takeAll() {
				t.tell(e)
			}
		}
	}
}

func (t *Transport) tell(e membership.Effect) {
	switch e := e.(type) {
	case membership.MemberChanged:
		t.delegate.MemberChanged(e.Member)
	case membership.ConfigOffsetSeen:
		t.delegate.ConfigOffsetSeen(e.PeerAddr, e.Offset)
	case membership.BroadcastReceived:
		t.delegate.BroadcastReceived(e.Broadcast)
	}
}

// Addr returns the address that other members use.
func (t *Transport) Addr() netip.AddrPort { return t.addr }

// UpdateMeta replaces the metadata of this process.
func (t *Transport) UpdateMeta(m membership.Meta) { t.local(membership.LocalUpdate{Meta: m}) }

// AddSeeds adds addresses to join through.
func (t *Transport) AddSeeds(addrs []netip.AddrPort) { t.local(membership.AddSeeds{Addrs: addrs}) }

// SetConfigOffset sets the configuration offset in the headers of this process.
func (t *Transport) SetConfigOffset(offset uint64) {
	t.local(membership.SetConfigOffset{Offset: offset})
}

// Broadcast sends an application message to all members.
func (t *Transport) Broadcast(b membership.Broadcast) {
	t.local(membership.LocalBroadcast{Broadcast: b})
}

// Members returns a copy of the member table, this process included.
func (t *Transport) Members() []membership.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.node.Members()
}

// Self returns the entry of this process.
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

// Stats returns the counters of the state machine.
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

// Leave announces the departure, waits until it has been sent often enough or
// ctx ends, and closes the transport. It returns the error of ctx.
func (t *Transport) Leave(ctx context.Context) error {
	t.local(membership.Leave{})
	err := ctx.Err()
	if err != nil {
		return errors.Join(err, t.Close())
	}
	select {
	case <-t.left:
	case <-t.stop:
	case <-ctx.Done():
		err = ctx.Err()
	}
	return errors.Join(err, t.Close())
}

// Close stops the transport without announcing the departure and waits for its
// goroutines.
func (t *Transport) Close() error {
	var err error
	t.once.Do(func() {
		close(t.stop)
		err = t.conn.Close()
	})
	t.wg.Wait()
	return err
}

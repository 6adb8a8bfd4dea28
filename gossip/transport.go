package gossip

import (
	"context"
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

// Config configures a Transport.
type Config struct {
	// Listen is the UDP address to bind. With port 0 the system picks one.
	Listen netip.AddrPort
	// Membership configures the state machine. If its Addr is the zero value,
	// the bound address is used; if its ID is zero, a random one is made.
	Membership membership.Config
	// Delegate receives changes; it is required.
	Delegate Delegate
	// Logger may be nil.
	Logger hclog.Logger
}

// Transport is a running membership node. Its methods are safe for concurrent use.
type Transport struct {
	conn     *net.UDPConn
	delegate Delegate
	mu       sync.Mutex
	node     *membership.Node
	events   chan membership.Event
	left     chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup
}

// Start binds the socket, starts the goroutines and begins to join.
func Start(cfg Config) (*Transport, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, kind.Newf(kind.SettingsInvalid, "gossip address %s: %v", cfg.Listen, err)
	}
	m := cfg.Membership
	if !m.Addr.IsValid() {
		m.Addr = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	if m.ID == (uuid.UUID{}) {
		m.ID = uuid.New()
	}
	node, err := membership.New(m, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now())
	if err != nil {
		conn.Close()
		return nil, err
	}
	t := &Transport{conn: conn, delegate: cfg.Delegate, node: node, events: make(chan membership.Event, 256), left: make(chan struct{}), stop: make(chan struct{})}
	t.done.Go(t.read)
	t.done.Go(t.run)
	return t, nil
}

func (t *Transport) read() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		select {
		case t.events <- membership.Datagram{From: from, Bytes: append([]byte(nil), buffer[:n]...)}:
		case <-t.stop:
			return
		}
	}
}

func (t *Transport) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var event membership.Event
		select {
		case event = <-t.events:
		case <-timer.C:
			event = membership.Tick{}
		case <-t.stop:
			return
		}
		now := time.Now()
		t.mu.Lock()
		effects := t.node.Step(now, event)
		next := t.node.NextTick()
		t.mu.Unlock()
		timer.Reset(max(next.Sub(now), time.Millisecond))
		for _, e := range effects {
			t.apply(e)
		}
	}
}

func (t *Transport) apply(effect membership.Effect) {
	switch e := effect.(type) {
	case membership.Send:
		t.conn.WriteToUDPAddrPort(e.Bytes, e.To)
	case membership.MemberChanged:
		t.delegate.MemberChanged(e.Member)
	case membership.ConfigOffsetSeen:
		t.delegate.ConfigOffsetSeen(e.PeerAddr, e.Offset)
	case membership.BroadcastReceived:
		t.delegate.BroadcastReceived(e.Broadcast)
	case membership.LeaveComplete:
		close(t.left)
	}
}

func (t *Transport) submit(e membership.Event) {
	select {
	case t.events <- e:
	case <-t.stop:
	}
}

// Addr returns the address that other members use.
func (t *Transport) Addr() netip.AddrPort { return t.Self().Addr }

// UpdateMeta replaces the metadata of this process.
func (t *Transport) UpdateMeta(m membership.Meta) { t.submit(membership.LocalUpdate{Meta: m}) }

// SetConfigOffset sets the configuration offset in the headers of this process.
func (t *Transport) SetConfigOffset(offset uint64) {
	t.submit(membership.SetConfigOffset{Offset: offset})
}

// Broadcast sends an application message to all members.
func (t *Transport) Broadcast(b membership.Broadcast) {
	t.submit(membership.LocalBroadcast{Broadcast: b})
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
	t.submit(membership.Leave{})
	var err error
	select {
	case <-t.left:
	case <-ctx.Done():
		err = ctx.Err()
	}
	t.Close()
	return err
}

// Close stops the transport without announcing the departure and waits for its
// goroutines.
func (t *Transport) Close() error {
	t.stopOnce.Do(func() {
		close(t.stop)
		t.conn.Close()
	})
	t.done.Wait()
	return nil
}

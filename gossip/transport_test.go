package gossip_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/goldcrestsail/goldcrestsail/gossip"
	"github.com/goldcrestsail/goldcrestsail/membership"
)

// A goroutine that outlives Close or Leave would keep a stopped node's socket open.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a delegate that hands what it sees to waiting tests.
type recorder struct {
	mu         sync.Mutex
	members    map[netip.AddrPort]membership.Member
	offsets    map[uint64]netip.AddrPort
	broadcasts map[string][]byte
	changed    chan struct{}
}

func newRecorder() *recorder {
	return &recorder{members: map[netip.AddrPort]membership.Member{}, offsets: map[uint64]netip.AddrPort{},
		broadcasts: map[string][]byte{}, changed: make(chan struct{}, 1)}
}

func (r *recorder) update(f func()) {
	r.mu.Lock()
	f()
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *recorder) MemberChanged(m membership.Member) {
	r.update(func() { r.members[m.Addr] = m })
}

func (r *recorder) ConfigOffsetSeen(peer netip.AddrPort, offset uint64) {
	r.update(func() { r.offsets[offset] = peer })
}

func (r *recorder) BroadcastReceived(b membership.Broadcast) {
	r.update(func() { r.broadcasts[b.ID] = b.Payload })
}

// wait blocks until ok holds. The bound only ends a run that hangs.
func (r *recorder) wait(t *testing.T, ok func() bool) {
	t.Helper()
	limit := time.After(30 * time.Second)
	for {
		r.mu.Lock()
		done := ok()
		r.mu.Unlock()
		if done {
			return
		}
		select {
		case <-r.changed:
		case <-limit:
			t.Fatal("the expected change did not arrive")
		}
	}
}

func start(t *testing.T, port uint16, seeds ...netip.AddrPort) (*gossip.Transport, *recorder) {
	t.Helper()
	r := newRecorder()
	tr, err := gossip.Start(gossip.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Membership: membership.Config{Seeds: seeds, Cluster: "test", Meta: membership.Meta{
			Customer: "qureshi", Service: "paydesk", PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}},
		Delegate: r,
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = tr.Close() })
	return tr, r
}

// TestTransport guards the wiring of socket, timer and delegate: join, metadata,
// configuration offset, broadcast, malformed input and departure.
func TestTransport(t *testing.T) {
	a, ra := start(t, 1001)
	b, rb := start(t, 1002, a.Addr())
	c, rc := start(t, 1003, a.Addr())
	all := func(r *recorder) func() bool { return func() bool { return len(r.members) >= 2 } }
	ra.wait(t, all(ra))
	rb.wait(t, all(rb))
	rc.wait(t, all(rc))

	meta := b.Self().Meta
	meta.TargetState = membership.Draining
	b.UpdateMeta(meta)
	rc.wait(t, func() bool { return rc.members[b.Addr()].Meta.TargetState == membership.Draining })

	a.SetConfigOffset(42)
	rb.wait(t, func() bool { return rb.offsets[42] == a.Self().Meta.PeerAddr })
	offset, from := b.HighestConfigOffset()
	require.Equal(t, uint64(42), offset)
	require.Equal(t, a.Self().Meta.PeerAddr, from)

	c.Broadcast(membership.Broadcast{Kind: 7, ID: "x", Payload: []byte("p"), Expiry: time.Now().Add(time.Hour)})
	ra.wait(t, func() bool { return string(ra.broadcasts["x"]) == "p" })

	stranger, err := net.Dial("udp", c.Addr().String())
	require.NoError(t, err)
	_, err = stranger.Write([]byte("not a datagram of the protocol"))
	require.NoError(t, err)
	require.NoError(t, stranger.Close())

	require.NoError(t, b.Leave(context.Background()))
	ra.wait(t, func() bool { return ra.members[b.Addr()].State == membership.Left })
	rc.wait(t, func() bool { return rc.members[b.Addr()].State == membership.Left })
	require.Eventually(t, func() bool { return c.Stats().Malformed == 1 }, 30*time.Second, time.Millisecond)
}

// TestLeaveEnds guards against a departure that hangs: a node without peers
// leaves at once, and one with peers stops when its caller's time is up.
func TestLeaveEnds(t *testing.T) {
	alone, _ := start(t, 1001)
	require.NoError(t, alone.Leave(context.Background()))
	require.NoError(t, alone.Close())

	a, _ := start(t, 1001)
	b, r := start(t, 1002, a.Addr())
	r.wait(t, func() bool { return len(r.members) >= 1 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, b.Leave(ctx), context.Canceled)
}

// slowDelegate calls back into the transport and takes its time.
type slowDelegate struct {
	recorder
	transport chan *gossip.Transport
	release   chan struct{}
}

func (d *slowDelegate) MemberChanged(m membership.Member) {
	<-d.release
	tr := <-d.transport
	tr.Members()
	tr.UpdateMeta(membership.Meta{Slots: uint32(len(tr.Members()))})
	d.transport <- tr
	d.recorder.MemberChanged(m)
}

// TestSlowDelegate guards against a delegate that stops the protocol, or that
// deadlocks when it calls back.
func TestSlowDelegate(t *testing.T) {
	d := &slowDelegate{recorder: *newRecorder(), transport: make(chan *gossip.Transport, 1), release: make(chan struct{})}
	tr, err := gossip.Start(gossip.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Delegate: d,
		Membership: membership.Config{Cluster: "test"}})
	require.NoError(t, err)
	d.transport <- tr
	other, r := start(t, 1002, tr.Addr())
	r.wait(t, func() bool { return len(r.members) >= 1 })
	require.NoError(t, other.Leave(context.Background()))
	close(d.release)
	d.wait(t, func() bool { return d.members[other.Addr()].State == membership.Left })
	require.NoError(t, tr.Close())
}

// TestStartRejectsFaults guards against a node that starts with faulty settings.
func TestStartRejectsFaults(t *testing.T) {
	_, err := gossip.Start(gossip.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0")})
	require.Error(t, err)
	_, err = gossip.Start(gossip.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Delegate: newRecorder(),
		Membership: membership.Config{MaxMembers: -1}})
	require.ErrorContains(t, err, "max_members")
}

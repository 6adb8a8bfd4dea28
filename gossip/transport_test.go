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

// Guards against goroutines that outlive Close or Leave and keep the socket of a
// stopped node open.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a delegate that records notifications and lets tests wait for them.
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

// waitUntil blocks until condition holds. The timeout only ends a test that hangs.
func (r *recorder) waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		r.mu.Lock()
		satisfied := condition()
		r.mu.Unlock()
		if satisfied {
			return
		}
		select {
		case <-r.changed:
		case <-timeout:
			t.Fatal("the expected notification did not arrive within 30 s")
		}
	}
}

func startTransport(t *testing.T, peerPort uint16, seeds ...netip.AddrPort) (*gossip.Transport, *recorder) {
	t.Helper()
	r := newRecorder()
	tr, err := gossip.Start(gossip.Config{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Membership: membership.Config{Seeds: seeds, Cluster: "test", Meta: membership.Meta{
			Customer: "qureshi", Service: "paydesk", PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), peerPort)}},
		Delegate: r,
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = tr.Close() })
	return tr, r
}

// Guards against faulty wiring of socket, timer and delegate: three nodes join,
// exchange metadata, a configuration offset and a broadcast, count a malformed
// datagram and see a departure.
func TestTransportCarriesProtocol(t *testing.T) {
	a, ra := startTransport(t, 1001)
	b, rb := startTransport(t, 1002, a.Addr())
	c, rc := startTransport(t, 1003, a.Addr())
	sawTwoMembers := func(r *recorder) func() bool { return func() bool { return len(r.members) >= 2 } }
	ra.waitUntil(t, sawTwoMembers(ra))
	rb.waitUntil(t, sawTwoMembers(rb))
	rc.waitUntil(t, sawTwoMembers(rc))

	meta := b.Self().Meta
	meta.TargetState = membership.Draining
	b.UpdateMeta(meta)
	rc.waitUntil(t, func() bool { return rc.members[b.Addr()].Meta.TargetState == membership.Draining })

	a.SetConfigOffset(42)
	rb.waitUntil(t, func() bool { return rb.offsets[42] == a.Self().Meta.PeerAddr })
	offset, from := b.HighestConfigOffset()
	require.Equal(t, uint64(42), offset)
	require.Equal(t, a.Self().Meta.PeerAddr, from)

	c.Broadcast(membership.Broadcast{Kind: 7, ID: "x", Payload: []byte("p"), Expiry: time.Now().Add(time.Hour)})
	ra.waitUntil(t, func() bool { return string(ra.broadcasts["x"]) == "p" })

	conn, err := net.Dial("udp", c.Addr().String())
	require.NoError(t, err)
	_, err = conn.Write([]byte("not a datagram of the protocol"))
	require.NoError(t, err)
	require.NoError(t, conn.Close())

	require.NoError(t, b.Leave(context.Background()))
	ra.waitUntil(t, func() bool { return ra.members[b.Addr()].State == membership.Left })
	rc.waitUntil(t, func() bool { return rc.members[b.Addr()].State == membership.Left })
	require.Eventually(t, func() bool { return c.Stats().Malformed == 1 }, 30*time.Second, time.Millisecond)
}

// Guards against a Leave that hangs: it returns at once on a node without peers,
// and on a node with peers when its context ends.
func TestLeaveReturnsWithoutPeersOrOnCancel(t *testing.T) {
	alone, _ := startTransport(t, 1001)
	require.NoError(t, alone.Leave(context.Background()))
	require.NoError(t, alone.Close())

	a, _ := startTransport(t, 1001)
	b, r := startTransport(t, 1002, a.Addr())
	r.waitUntil(t, func() bool { return len(r.members) >= 1 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, b.Leave(ctx), context.Canceled)
}

// slowDelegate blocks until it is released, and then calls back into the transport.
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

// Guards against a blocked delegate that stops the protocol, and against a
// deadlock when a delegate calls methods of the transport.
func TestSlowDelegateDoesNotBlockProtocol(t *testing.T) {
	d := &slowDelegate{recorder: *newRecorder(), transport: make(chan *gossip.Transport, 1), release: make(chan struct{})}
	tr, err := gossip.Start(gossip.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Delegate: d,
		Membership: membership.Config{Cluster: "test"}})
	require.NoError(t, err)
	d.transport <- tr
	other, r := startTransport(t, 1002, tr.Addr())
	r.waitUntil(t, func() bool { return len(r.members) >= 1 })
	require.NoError(t, other.Leave(context.Background()))
	close(d.release)
	d.waitUntil(t, func() bool { return d.members[other.Addr()].State == membership.Left })
	require.NoError(t, tr.Close())
}

// Guards against a node that starts with an invalid configuration.
func TestStartRejectsInvalidConfig(t *testing.T) {
	_, err := gossip.Start(gossip.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0")})
	require.Error(t, err)
	_, err = gossip.Start(gossip.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Delegate: newRecorder(),
		Membership: membership.Config{MaxMembers: -1}})
	require.ErrorContains(t, err, "max_members")
}

package membership

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/goldcrestsail/goldcrestsail/membership/internal/wire"
)

var testStart = time.Unix(1_700_000_000, 0)

func testNode(t testing.TB, modify func(*Config)) *Node {
	cfg := Config{ID: uuid.UUID{1}, Addr: netip.MustParseAddrPort("10.0.0.1:7946"), Cluster: "c",
		Meta: Meta{Customer: "qureshi", Service: "paydesk", PeerAddr: netip.MustParseAddrPort("10.0.0.1:7947")}}
	if modify != nil {
		modify(&cfg)
	}
	n, err := New(cfg, rand.New(rand.NewPCG(1, 2)), testStart)
	require.NoError(t, err)
	return n
}

// pingWithSelf returns a ping from another node with an update about that node.
func pingWithSelf(t testing.TB, id byte, addr string) []byte {
	other := testNode(t, func(c *Config) {
		c.ID, c.Addr = uuid.UUID{id}, netip.MustParseAddrPort(addr)
	})
	b := other.newBuilder(&wire.Datagram{Body: &wire.Datagram_Ping{Ping: &wire.Ping{Seq: 7}}})
	require.True(t, b.addEntry(other.self, fullMeta, b.limit))
	require.Equal(t, b.size, len(b.marshal()), "builder.size differs from the encoded size")
	return b.marshal()
}

// TestDatagramRoundTrip guards against metadata that encoding and decoding change.
func TestDatagramRoundTrip(t *testing.T) {
	n := testNode(t, nil)
	n.Step(testStart, Datagram{From: netip.MustParseAddrPort("10.0.0.2:7946"), Bytes: pingWithSelf(t, 2, "10.0.0.2:7946")})
	e := n.members[uuid.UUID{2}]
	require.NotNil(t, e)
	require.Equal(t, Meta{Customer: "qureshi", Service: "paydesk", PeerAddr: netip.MustParseAddrPort("10.0.0.1:7947")}, e.Meta)
	require.Equal(t, netip.MustParseAddrPort("10.0.0.2:7946"), e.Addr)
}

// TestRejectsMalformedDatagrams guards against datagrams with one invalid field
// whose other fields are applied.
func TestRejectsMalformedDatagrams(t *testing.T) {
	validDatagram := func() *wire.Datagram {
		var d wire.Datagram
		require.NoError(t, proto.Unmarshal(pingWithSelf(t, 2, "10.0.0.2:7946"), &d))
		return &d
	}
	for name, corrupt := range map[string]func(*wire.Datagram){
		"sender":           func(d *wire.Datagram) { d.Sender = d.Sender[:15] },
		"incarnation":      func(d *wire.Datagram) { d.Incarnation = 1 << 60 },
		"update id":        func(d *wire.Datagram) { d.Updates[0].Id = make([]byte, 16) },
		"state":            func(d *wire.Datagram) { d.Updates[0].State = 9 },
		"target state":     func(d *wire.Datagram) { d.Updates[0].TargetState = 9 },
		"address":          func(d *wire.Datagram) { d.Updates[0].Addr = []byte{1, 2, 3} },
		"port":             func(d *wire.Datagram) { d.Updates[0].Addr = []byte{10, 0, 0, 2, 0, 0} },
		"peer address":     func(d *wire.Datagram) { d.Updates[0].PeerAddr = []byte{1} },
		"name reference":   func(d *wire.Datagram) { d.Updates[0].Region = 99 },
		"long name":        func(d *wire.Datagram) { d.Names[0] = string(make([]byte, MaxNameBytes+1)) },
		"slots":            func(d *wire.Datagram) { d.Updates[0].Slots = MaxSlots + 1 },
		"meta incarnation": func(d *wire.Datagram) { d.Updates[0].MetaIncarnation = 5 },
		"ping target":      func(d *wire.Datagram) { d.GetPing().Target = []byte{1} },
		"broadcast":        func(d *wire.Datagram) { d.Broadcasts = []*wire.Broadcast{{Kind: 1}} },
		"digest":           func(d *wire.Datagram) { d.Body = &wire.Datagram_Digest{Digest: &wire.Digest{Buckets: []uint32{1}}} },
		"sync bucket": func(d *wire.Datagram) {
			d.Body = &wire.Datagram_Sync{Sync: &wire.Sync{Buckets: []*wire.Bucket{{Index: bucketCount}}}}
		},
	} {
		d := validDatagram()
		corrupt(d)
		b, err := proto.Marshal(d)
		require.NoError(t, err)
		n := testNode(t, nil)
		n.Step(testStart, Datagram{From: netip.MustParseAddrPort("10.0.0.2:7946"), Bytes: b})
		require.Equal(t, uint64(1), n.Stats().Malformed, name)
		require.Equal(t, 1, n.Size(), name)
	}
	n := testNode(t, func(c *Config) { c.Cluster = "other" })
	n.Step(testStart, Datagram{From: netip.MustParseAddrPort("10.0.0.2:7946"), Bytes: pingWithSelf(t, 2, "10.0.0.2:7946")})
	require.Equal(t, uint64(1), n.Stats().OtherCluster)
	require.Equal(t, 1, n.Size())
}

// TestTableSizesAreBounded guards against tables that grow without bound when
// many members or broadcasts arrive.
func TestTableSizesAreBounded(t *testing.T) {
	n := testNode(t, func(c *Config) { c.MaxMembers, c.MaxDead, c.MaxBroadcasts = 20, 5, 10 })
	for i := range 60 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), 7946)
		n.Step(testStart, Datagram{From: addr, Bytes: pingWithSelf(t, byte(i+2), addr.String())})
		n.Step(testStart, LocalBroadcast{Broadcast{Kind: 1, ID: string(rune('a' + i)), Expiry: testStart.Add(time.Duration(i+1) * time.Minute)}})
	}
	require.Equal(t, 20, n.Size())
	require.Len(t, n.Broadcasts(), 10)
	now := testStart
	// The health score of an isolated node rises to its maximum of 8, so the node
	// probes at a ninth of the usual rate.
	for range 3000 {
		now = now.Add(200 * time.Millisecond)
		n.Step(now, Tick{})
	}
	require.Equal(t, 1, n.Size())
	require.Len(t, n.Members(), 6)
	require.Zero(t, len(n.relays)+len(n.probes)+len(n.suspects))
}

// TestNewReportsAllInvalidFields guards against an error that reports only the
// first invalid field of a configuration.
func TestNewReportsAllInvalidFields(t *testing.T) {
	_, err := New(Config{ProbeInterval: -1, MaxMembers: -1}, rand.New(rand.NewPCG(1, 2)), testStart)
	require.ErrorContains(t, err, "id")
	require.ErrorContains(t, err, "addr")
	require.ErrorContains(t, err, "probe_interval")
	require.ErrorContains(t, err, "max_members")
}

// FuzzDatagram guards against received datagrams that make a node panic or send
// datagrams that it would itself reject.
func FuzzDatagram(f *testing.F) {
	f.Add(pingWithSelf(f, 2, "10.0.0.2:7946"))
	f.Add([]byte{})
	other := testNode(f, func(c *Config) { c.ID = uuid.UUID{3} })
	for _, body := range []*wire.Datagram{
		{Body: &wire.Datagram_Ack{Ack: &wire.Ack{Seq: 1, Unknown: true}}},
		{Body: &wire.Datagram_PingRequest{PingRequest: &wire.PingRequest{Seq: 1, Target: other.self.ID[:], Addr: []byte{10, 0, 0, 3, 1, 1}}}},
		{Body: &wire.Datagram_Digest{Digest: &wire.Digest{Root: 1, Buckets: make([]uint32, bucketCount)}}},
		{Body: &wire.Datagram_Sync{Sync: &wire.Sync{Buckets: []*wire.Bucket{{Index: 1, Hashes: []uint32{1}}}}}},
	} {
		b := other.newBuilder(body)
		b.addEntry(other.self, fullMeta, b.limit)
		b.addBroadcast(&Broadcast{Kind: 1, ID: "x", Expiry: testStart.Add(time.Hour)}, b.limit)
		f.Add(b.marshal())
	}
	known := pingWithSelf(f, 2, "10.0.0.2:7946")
	f.Fuzz(func(t *testing.T, b []byte) {
		n := testNode(t, nil)
		n.Step(testStart, Datagram{From: netip.MustParseAddrPort("10.0.0.2:7946"), Bytes: known})
		effects := n.Step(testStart, Datagram{From: netip.MustParseAddrPort("10.0.0.3:7946"), Bytes: b})
		effects = append(effects, n.Step(testStart.Add(300*time.Millisecond), Tick{})...)
		for _, e := range effects {
			if s, ok := e.(Send); ok {
				_, err := decodeDatagram(s.Bytes, func(s string) string { return s })
				require.NoError(t, err)
				require.LessOrEqual(t, len(s.Bytes), 1200)
			}
		}
	})
}

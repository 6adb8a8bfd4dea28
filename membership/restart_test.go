package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// Guards against slow recovery after all processes restart at once. Each gets
// the addresses from a list, none knows a member, and requests wait until the
// nodes have found each other. Recovery may take 2 s in total, and this part of
// it half of that.
func TestAllNodesRestartedAtOnceFindEachOther(t *testing.T) {
	const count = 16
	now := time.Unix(1000, 0)
	var nodes []*Node
	var addrs []netip.AddrPort
	byAddr := map[netip.AddrPort]*Node{}
	for i := range count {
		addr := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1))
		n, err := New(Config{ID: uuid.New(), Addr: addr, Meta: Meta{Service: "s", PeerAddr: addr}}, rand.New(rand.NewPCG(uint64(i), 7)), now)
		require.NoError(t, err)
		nodes, addrs, byAddr[addr] = append(nodes, n), append(addrs, addr), n
	}
	type packet struct {
		at       time.Time
		from, to netip.AddrPort
		bytes    []byte
	}
	var inFlight []packet
	step := func(n *Node, e Event) {
		for _, effect := range n.Step(now, e) {
			if s, ok := effect.(Send); ok {
				inFlight = append(inFlight, packet{now.Add(time.Millisecond), n.self.Addr, s.To, append([]byte(nil), s.Bytes...)})
			}
		}
	}
	// The processes start within 0.3 s of each other; datagrams to a process that
	// has not started are lost.
	startsAt := map[*Node]time.Time{}
	for i, n := range nodes {
		startsAt[n] = now.Add(time.Duration(i) * 300 * time.Millisecond / count)
	}
	for range 1300 {
		now = now.Add(time.Millisecond)
		for _, n := range nodes {
			if ms := now.Sub(startsAt[n]).Milliseconds(); ms > 0 && ms <= 801 && ms%200 == 1 {
				step(n, AddSeeds{Addrs: addrs})
			}
		}
		pending := inFlight
		inFlight = nil
		for _, f := range pending {
			if f.at.After(now) {
				inFlight = append(inFlight, f)
				continue
			}
			if to := byAddr[f.to]; now.Before(startsAt[to]) {
				continue
			}
			step(byAddr[f.to], Datagram{From: f.from, Bytes: f.bytes})
		}
		for _, n := range nodes {
			if !now.Before(startsAt[n]) && !n.NextTick().After(now) {
				step(n, Tick{})
			}
		}
	}
	for i, n := range nodes {
		require.Equal(t, count, n.Size(), "node %d", i)
	}
}

package memnet_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/memnet"
)

var epoch = time.Unix(1_700_000_000, 0)

// sink records what arrives and wakes up once.
type sink struct {
	arrived []time.Duration
	wakeAt  time.Time
	woken   int
}

func (s *sink) Deliver(now time.Time, _ netip.AddrPort, _ []byte) {
	s.arrived = append(s.arrived, now.Sub(epoch))
}

func (s *sink) Wake(time.Time) {
	s.woken++
	s.wakeAt = s.wakeAt.Add(time.Hour)
}

func (s *sink) NextWake() time.Time { return s.wakeAt }

// TestNetwork guards the rules that all measurements in virtual time rest on:
// latency, loss, cuts, pauses, removal and wake-ups.
func TestNetwork(t *testing.T) {
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	n := memnet.New(rand.New(rand.NewPCG(1, 1)), epoch)
	n.SetLatency(2*time.Millisecond, 5*time.Millisecond)
	sa, sb := &sink{wakeAt: epoch.Add(time.Second)}, &sink{wakeAt: epoch.Add(time.Hour)}
	n.Attach(a, sa)
	n.Attach(b, sb)

	for range 100 {
		n.Send(a, b, []byte{1})
	}
	n.Run(10 * time.Millisecond)
	require.Len(t, sb.arrived, 100)
	for _, at := range sb.arrived {
		require.GreaterOrEqual(t, at, 2*time.Millisecond)
		require.Less(t, at, 5*time.Millisecond)
	}

	n.SetLoss(0.5)
	for range 1000 {
		n.Send(a, b, []byte{1})
	}
	n.Run(10 * time.Millisecond)
	require.InDelta(t, 500, len(sb.arrived)-100, 60)
	n.SetLoss(0)

	count := len(sb.arrived)
	n.Cut(map[netip.AddrPort]int{b: 1})
	n.Send(a, b, []byte{1})
	n.Run(10 * time.Millisecond)
	require.Len(t, sb.arrived, count, "a datagram crossed the cut")
	n.Cut(nil)

	n.Freeze(b)
	n.Send(a, b, []byte{1})
	n.Run(time.Second)
	require.Len(t, sb.arrived, count, "a paused host ran")
	n.Thaw(b)
	require.Len(t, sb.arrived, count+1)
	require.Equal(t, 1, sa.woken)
	require.Zero(t, sb.woken)

	n.Send(a, b, []byte{1})
	n.Detach(b)
	n.Run(time.Second)
	require.Len(t, sb.arrived, count+1, "a datagram reached a removed host")
	require.Equal(t, epoch.Add(10*3*time.Millisecond+2*time.Second), n.Now())
}

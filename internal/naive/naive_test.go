package naive

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a comparison with something better or worse than the naive
// version that the design names.
func TestNaiveRules(t *testing.T) {
	var r RoundRobin
	got := []int{}
	for range 4 {
		got = append(got, r.Next(3, func(i int) bool { return i != 1 }))
	}
	require.Equal(t, []int{0, 2, 0, 2}, got)
	require.Equal(t, -1, r.Next(3, func(int) bool { return false }))

	q := Queue[int]{Slots: 1, Connections: 3}
	for i, want := range [][2]bool{{true, false}, {false, false}, {false, false}, {false, true}} {
		start, refused := q.Offer(i)
		require.Equal(t, want, [2]bool{start, refused})
	}
	next, ok := q.Release()
	require.True(t, ok)
	require.Equal(t, 1, next, "first in, first out")
	require.Equal(t, []int{2}, q.Clear())

	require.True(t, Retry(2, 0))
	require.True(t, Retry(0, 503))
	require.False(t, Retry(3, 503))
	require.False(t, Retry(0, 404))
}

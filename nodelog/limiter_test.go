package nodelog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against unbounded logging under load, against a frequent kind of line that
// suppresses other kinds, and against suppressed lines that are not counted.
func TestLimiterBoundsEachKind(t *testing.T) {
	l := NewLimiter(10)
	now := time.Unix(100, 0)
	allowed := 0
	for i := range 1000 {
		if l.Allow(now.Add(time.Duration(i)*time.Millisecond), "request failed") {
			allowed++
		}
	}
	require.InDelta(t, 20, allowed, 1, "the burst and the lines of one second")
	require.True(t, l.Allow(now, "member changed"))
	require.Equal(t, map[string]int{"request failed": 1000 - allowed}, l.Suppressed())
	require.Empty(t, l.Suppressed())
}

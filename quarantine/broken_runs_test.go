package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

// Guards against a crash that is attributed to requests whose connection or response
// was lost while the target went on, and against one that is attributed to none.
func TestBrokenRunsBeforeLastSignOfLifeAreNotBlamed(t *testing.T) {
	var b quarantine.BrokenRuns
	add := func(f quarantine.Fingerprint, at time.Duration) *quarantine.BrokenRun {
		r := &quarantine.BrokenRun{Fingerprint: f, Until: start.Add(at)}
		b.Add(r)
		return r
	}
	lost := add(1, 0)
	b.Alive(start.Add(-time.Second))
	require.True(t, b.Contains(lost), "the completed run began before the break")
	b.Alive(start.Add(time.Second))
	require.False(t, b.Contains(lost))
	add(2, 2*time.Second)
	add(3, 3*time.Second)
	runs := b.Take(start.Add(5 * time.Second))
	require.Len(t, runs, 2)
	require.Empty(t, b.Take(start.Add(5*time.Second)))
	add(4, 6*time.Second)
	require.Empty(t, b.Take(start.Add(30*time.Second)), "the break is too old")
	for range 1000 {
		add(5, 31*time.Second)
	}
	require.Len(t, b.Take(start.Add(31*time.Second)), 512)
}

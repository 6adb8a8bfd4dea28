package recordsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a record that is never written again after a restore, since the
// response that confirmed it came from the timeline before the one that a peer has
// told of.
func TestRecordConfirmedInEarlierTimelineIsWritten(t *testing.T) {
	now := time.Unix(0, 0)
	k := New(rand.New(rand.NewPCG(1, 1)))
	k.ObserveTimeline(now, 2, time.Second)
	k.Confirm(now, Version{Timeline: 1})
	require.False(t, k.Current())
	_, planned := k.NextWrite()
	require.True(t, planned)
}

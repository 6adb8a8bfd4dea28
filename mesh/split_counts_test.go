package mesh

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// Guards against counts that mix versions or outcomes, and against counters that grow
// with the versions of a day.
func TestSplitCountsByPartVersionAndOutcome(t *testing.T) {
	split := routetable.Route{Name: "r", Clusters: []routetable.Cluster{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	single := routetable.Route{Name: "s", Clusters: []routetable.Cluster{{Service: "a", Weight: 1}}}
	require.InDelta(t, 0.75, split.WeightShare("a"), 1e-9)
	require.Zero(t, split.WeightShare("c"))

	c := newSplitCounts()
	c.record(&split, "a", 1, passedOn(nil))
	c.record(&split, "a", 2, passedOn(kind.New(kind.TargetRefused, "")))
	c.record(&split, "b", 2, passedOn(kind.New(kind.ShedEarly, "").WithRun(kind.NotRun)))
	c.record(&split, "b", 2, passedOn(kind.New(kind.AnswerTruncated, "").WithRun(kind.MayHaveRun)))
	c.record(&split, "b", 2, passedOn(kind.New(kind.AnswerTooLarge, "")))
	c.record(&single, "a", 2, true)
	now := time.Now()
	require.Equal(t, map[versionedPart]splitOutcome{
		{splitPart{"r", "a"}, 1, 0.75}: {passedOn: 1}, {splitPart{"r", "a"}, 2, 0.75}: {passedOn: 1}, {splitPart{"r", "b"}, 2, 0.25}: {passedOn: 2, refused: 1},
	}, c.takeUnlogged(now))
	c.record(&split, "a", 2, true)
	require.Nil(t, c.takeUnlogged(now.Add(splitLogInterval-1)))
	require.Len(t, c.takeUnlogged(now.Add(splitLogInterval)), 1)

	var out bytes.Buffer
	c.writeMetrics(&out)
	require.Contains(t, out.String(), `goldcrestsail_split_requests_total{route="r",service="b",outcome="refused"} 1`)
	split.Clusters = split.Clusters[:1]
	c.retain(&routetable.Config{Version: 3, Routes: []routetable.Route{split, single}})
	out.Reset()
	c.writeMetrics(&out)
	require.Empty(t, out.String())
}

package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// Guards against a request for one part of a split that is refused for the cutoff of
// another part, or pays for its runs from the retry budget: the part that has room then
// gets less than its share.
func TestPartOfSplitIsNotRefusedForAnotherPart(t *testing.T) {
	n := newSplitNode(t, 1)
	_, failure := n.configuration.apply(splitConfig(1, 75, 25))
	require.Nil(t, failure)
	byService := map[string]*request{}
	for range 100 {
		now := time.Now()
		q, failure := n.classify(&message.Request{ID: "id", Host: "h", URI: "/split/x", Arrived: now, Deadline: now.Add(time.Minute)})
		require.Nil(t, failure)
		n.recordVisits(q.chainStart(), []message.Visit{{Service: q.call.Service, Runs: 1}, {Service: "below", Runs: 2}})
		byService[q.call.Service] = q
	}
	require.Len(t, byService, 2)
	now := time.Now()
	n.chains.table.Observe("s0", "target", 0, now)
	require.Equal(t, kind.ShedEarly, n.checkCutoffs(byService["s0"]).Kind)
	require.Nil(t, n.checkCutoffs(byService["s1"]), "s1 has room")
	require.Equal(t, map[string]float64{"s1": 1, "below": 2}, n.expectedRuns(byService["s1"].chainStart()))

	n.chains.table.Observe("below", "target", 0, now)
	require.Equal(t, kind.ShedEarly, n.checkCutoffs(byService["s1"]).Kind, "a service behind both parts binds both")
}

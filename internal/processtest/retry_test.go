package processtest

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a read that is retried more often than its retry allowance
// permits. The connections to the targets are cut after every start.
func TestRetriesStayWithinAllowance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "front", "front", "front", "back")
	c.publishBoth(t)
	path, answered := "/items/"+newID(), make(chan answer, 1)
	t.Cleanup(c.ledger.hold(path))
	starts := func() int { return c.ledger.count(func(s start) bool { return s.path == path }) }
	go func() { answered <- c.send(c.membersOf("back")[0], http.MethodGet, path, newID(), "") }()
	for n := 1; len(answered) == 0; n++ {
		waitFor(t, "a start or the answer", func() bool { return starts() >= n || len(answered) > 0 })
		for _, m := range c.membersOf("front") {
			m.targetLink.CloseConnections()
		}
	}
	a := <-answered
	require.NoError(t, a.err)
	require.Equal(t, "may-have-run", a.runState, a.detail)
	// A cut can interrupt the next attempt before it starts at a target, so
	// retries are counted at the entry node and only an upper bound applies to
	// the starts.
	require.Contains(t, c.get(c.membersOf("back")[0], "/metrics"), fmt.Sprintf("goldcrestsail_retries_total %d\n", retryAllowance))
	require.LessOrEqual(t, starts(), 1+retryAllowance)
}

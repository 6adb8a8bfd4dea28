package processtest

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxDrainDelay is the time after the announcement of a drain within which other
// nodes stop sending requests to the target (docs/design.md, invariant 6).
const maxDrainDelay = 3 * time.Second

// heldRequests is a set of requests that stay in progress until released.
type heldRequests struct {
	release func()
	answers chan answer
	count   int
}

// holdRequests sends reads and non-idempotent requests, through the member and to
// its target, until at least one of each kind is in progress at its target.
func (c *cluster) holdRequests(t *testing.T, m *member) *heldRequests {
	t.Helper()
	h := &heldRequests{answers: make(chan answer, 64)}
	name := newID()
	reads, pays := "/items/"+name, "/pay/"+name
	releaseReads, releasePays := c.ledger.hold(reads), c.ledger.hold(pays)
	h.release = func() { releaseReads(); releasePays() }
	t.Cleanup(h.release)
	entries := c.entryNodes()
	for _, kind := range []struct{ method, prefix string }{{http.MethodGet, reads}, {http.MethodPost, pays}} {
		waitFor(t, "requests in progress at "+m.target.name, func() bool {
			if c.ledger.count(func(s start) bool { return s.target == m.targetAddress && strings.HasPrefix(s.path, kind.prefix) }) > 0 {
				return true
			}
			id, path, refused := newID(), kind.prefix+"/"+newID(), make(chan answer, 1)
			entry := entries[h.count%len(entries)]
			go func() {
				a := c.send(entry, kind.method, path, id, "opaque-"+newID())
				refused <- a
				h.answers <- a
			}()
			waitFor(t, "the request to start or to be refused", func() bool {
				return len(refused) > 0 || c.ledger.count(func(s start) bool { return s.request == id }) > 0
			})
			if len(refused) > 0 {
				a := <-refused
				t.Logf("%s %s refused: %s %s", kind.method, path, a.kind, a.detail)
				<-h.answers
				return false
			}
			h.count++
			return false
		})
	}
	return h
}

// finish releases the requests and asserts that each ran once and was answered.
func (h *heldRequests) finish(t *testing.T, c *cluster) {
	t.Helper()
	h.release()
	for range h.count {
		a := <-h.answers
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, "request in progress during the drain: %s", a.kind)
		require.Empty(t, a.mismatch)
		require.Equal(t, 1, c.ledger.count(func(s start) bool { return s.request == a.id && s.service == "front" }), "starts of a request in progress")
	}
}

// Guards against a drain in which a request in progress is interrupted or run
// again, or the target receives requests after maxDrainDelay.
func TestDrainCompletesRequestsInProgress(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "front", "front", "front", "back", "back")
	c.timeoutMS = 60_000
	c.client.Timeout = 60 * time.Second
	c.publishBoth(t)
	l := c.startLoad(t)
	l.setStrict()
	l.waitGoodput(t)
	for _, tc := range []struct {
		name        string
		drainTarget bool
		start       func(t *testing.T, m *member)
	}{
		{"SIGTERM to a node", false, func(_ *testing.T, m *member) { m.node.signal(syscall.SIGTERM) }},
		{"SIGTERM to a node and its target", true, func(_ *testing.T, m *member) {
			m.target.signal(syscall.SIGTERM)
			m.node.signal(syscall.SIGTERM)
		}},
		{"drain command", false, func(t *testing.T, m *member) {
			code, _, errs := runCommand(t, "drain", "--node", m.admin)
			require.Zero(t, code, errs)
		}},
	} {
		ok := t.Run(tc.name, func(t *testing.T) {
			m := c.membersOf("front")[0]
			held := c.holdRequests(t, m)
			tc.start(t, m)
			m.node.waitLine(t, "draining")
			announced := time.Now()
			// Callers move to other nodes once the node is draining.
			c.setExcluded(m, true)
			time.Sleep(maxDrainDelay)
			const refusals = `goldcrestsail_target_failures_total{kind="draining"}`
			refused := c.metric(m, refusals)
			time.Sleep(maxDrainDelay / 2)
			require.Equal(t, refused, c.metric(m, refusals), "other nodes sent requests after %v", maxDrainDelay)
			require.Zero(t, c.ledger.count(func(s start) bool { return s.target == m.targetAddress && s.at.After(announced.Add(maxDrainDelay)) }))
			held.finish(t, c)
			require.Zero(t, m.node.waitExit(t), "exit code of the node")
			if tc.drainTarget {
				require.Zero(t, m.target.waitExit(t), "exit code of the target")
			}
			m.killTarget()
			c.remove(m)
			l.waitGoodput(t)
			l.checkInvariants(t)
			c.startTarget(c.t, c.startNode(c.t, "front"))
			c.waitServing(t)
		})
		if !ok {
			return
		}
	}
	l.end()
	l.checkInvariants(t)
	require.Zero(t, l.count(func(a answer) bool { return a.kind == "target-crashed" || a.kind == "answer-truncated" }))
}

// Guards against a second signal that does not end a node at once, or that does
// not log the number of lost requests.
func TestSecondSignalEndsNodeAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "front", "back")
	c.timeoutMS = 60_000
	c.publishBoth(t)
	m := c.membersOf("front")[0]
	c.holdRequests(t, m)
	m.node.signal(syscall.SIGTERM)
	m.node.waitLine(t, "draining")
	m.node.signal(syscall.SIGTERM)
	require.Equal(t, 1, m.node.waitExit(t))
	line := m.node.waitLine(t, "second signal; ending at once")
	require.GreaterOrEqual(t, line["requests_lost"], 2.0)
}

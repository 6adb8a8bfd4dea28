package processtest

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// noNewWork is within what time after a drain was announced other nodes stop
// sending work to the target (docs/design.md, invariant 6).
const noNewWork = 3 * time.Second

// held is a set of requests that stay in progress until they are released.
type held struct {
	release func()
	answers chan answer
	count   int
}

// holdWork sends reads and non-idempotent requests, through the member and to
// its target, until some of each kind are in progress at its target.
func (c *cluster) holdWork(t *testing.T, m *member) *held {
	t.Helper()
	h := &held{answers: make(chan answer, 64)}
	name := newID()
	reads, pays := "/items/"+name, "/pay/"+name
	releaseReads, releasePays := c.ledger.hold(reads), c.ledger.hold(pays)
	h.release = func() { releaseReads(); releasePays() }
	t.Cleanup(h.release)
	entries := c.entries()
	for _, kind := range []struct{ method, prefix string }{{http.MethodGet, reads}, {http.MethodPost, pays}} {
		waitFor(t, "work in progress at "+m.target.name, func() bool {
			if c.ledger.count(func(s start) bool { return s.target == m.targetAt && strings.HasPrefix(s.path, kind.prefix) }) > 0 {
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

// finish releases the requests; each must have run once and be answered.
func (h *held) finish(t *testing.T, c *cluster) {
	t.Helper()
	h.release()
	for range h.count {
		a := <-h.answers
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, "request in progress during the drain: %s", a.kind)
		require.Empty(t, a.wrong)
		require.Equal(t, 1, c.ledger.count(func(s start) bool { return s.request == a.id && s.service == "front" }), "starts of a request in progress")
	}
}

// Guards against a departure that cuts off a request, runs it again, or gets
// new work after the stated time.
func TestDeparturesCutOffNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "front", "front", "front", "back", "back")
	c.timeoutMS = 60_000
	c.client.Timeout = 60 * time.Second
	c.publishBoth(t)
	l := c.startLoad(t)
	l.setStrict()
	l.waitGoodput(t)
	for _, way := range []struct {
		name   string
		target bool
		start  func(t *testing.T, m *member)
	}{
		{"SIGTERM to a node", false, func(_ *testing.T, m *member) { m.node.signal(syscall.SIGTERM) }},
		{"SIGTERM to a node and its target", true, func(_ *testing.T, m *member) {
			m.target.signal(syscall.SIGTERM)
			m.node.signal(syscall.SIGTERM)
		}},
		{"drain command", false, func(t *testing.T, m *member) {
			code, _, errs := run(t, "drain", "--node", m.admin)
			require.Zero(t, code, errs)
		}},
	} {
		ok := t.Run(way.name, func(t *testing.T) {
			m := c.of("front")[0]
			work := c.holdWork(t, m)
			way.start(t, m)
			m.node.waitLine(t, "draining")
			announced := time.Now()
			// Callers that were refused use other nodes.
			c.setAway(m, true)
			time.Sleep(noNewWork)
			const refusals = `goldcrestsail_target_failures_total{kind="draining"}`
			refused := c.metric(m, refusals)
			time.Sleep(noNewWork / 2)
			require.Equal(t, refused, c.metric(m, refusals), "other nodes sent work after %v", noNewWork)
			require.Zero(t, c.ledger.count(func(s start) bool { return s.target == m.targetAt && s.at.After(announced.Add(noNewWork)) }))
			work.finish(t, c)
			require.Zero(t, m.node.waitExit(t), "exit code of the node")
			if way.target {
				require.Zero(t, m.target.waitExit(t), "exit code of the target")
			}
			m.killTarget()
			c.remove(m)
			l.waitGoodput(t)
			l.check(t)
			c.startTarget(c.t, c.startNode(c.t, "front"))
			c.waitServing(t)
		})
		if !ok {
			return
		}
	}
	l.end()
	l.check(t)
	require.Zero(t, l.count(func(a answer) bool { return a.kind == "target-crashed" || a.kind == "answer-truncated" }))
}

// Guards against a second signal that does not end a node at once, or hides
// what was lost.
func TestSecondSignalEndsTheNode(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "front", "back")
	c.timeoutMS = 60_000
	c.publishBoth(t)
	m := c.of("front")[0]
	c.holdWork(t, m)
	m.node.signal(syscall.SIGTERM)
	m.node.waitLine(t, "draining")
	m.node.signal(syscall.SIGTERM)
	require.Equal(t, 1, m.node.waitExit(t))
	line := m.node.waitLine(t, "second signal; ending at once")
	require.GreaterOrEqual(t, line["requests_lost"], 2.0)
}

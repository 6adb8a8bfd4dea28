package processtest

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
)

// freezeTime exceeds the time to detect a silent connection (1 to 2 s) and the
// deadline of the requests (4 s).
const freezeTime = 5 * time.Second

// failure is a fault that is injected into a running cluster.
type failure struct {
	name   string
	inject func(t *testing.T, c *cluster, l *load)
}

// testFailures injects failures one after the other under load and checks the
// invariants after each.
func testFailures(t *testing.T, failures ...failure) {
	t.Parallel()
	c := newCluster(t, "front", "front", "front", "back", "back", "back")
	c.publishBoth(t)
	l := c.startLoad(t)
	l.waitGoodput(t)
	for _, f := range failures {
		ok := t.Run(f.name, func(t *testing.T) {
			f.inject(t, c, l)
			l.waitGoodput(t)
			l.checkInvariants(t)
		})
		if !ok {
			break
		}
	}
	l.end()
	l.checkInvariants(t)
	t.Logf("%d answers, %d of them not-run, %d keys, %d paid", len(l.answers), len(l.notRunIDs()), len(l.keys), l.paid)
}

func freeze(p *process) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	p.signal(syscall.SIGCONT)
}

// Guards against duplicate effects, false not-run reports, excess retries, wrong
// answers and goodput that stays low when a process is killed.
func TestKilledProcesses(t *testing.T) {
	testFailures(t,
		failure{"target", func(t *testing.T, c *cluster, l *load) {
			for _, service := range []string{"front", "back"} {
				m := c.membersOf(service)[0]
				if service == "front" {
					l.injectDuringRequests(t, m, m.killTarget)
				} else {
					m.killTarget()
				}
				l.waitGoodput(t)
				c.startTarget(c.t, m)
				c.waitServing(t)
			}
		}},
		failure{"node", func(t *testing.T, c *cluster, l *load) {
			for _, service := range []string{"front", "back"} {
				m := c.membersOf(service)[1]
				kill := func() {
					c.remove(m)
					m.node.kill()
					m.killTarget()
				}
				if service == "front" {
					l.injectDuringRequests(t, m, kill)
				} else {
					kill()
				}
				l.waitGoodput(t)
				c.startTarget(c.t, c.startNode(c.t, service))
				c.waitServing(t)
			}
		}},
		failure{"log", func(t *testing.T, c *cluster, l *load) {
			c.log.kill()
			waitClaimsRefused(t, l)
			c.startLog(c.t)
		}},
	)
}

// Guards against the same faults as TestKilledProcesses when a process is stopped
// and resumed later.
func TestFrozenProcesses(t *testing.T) {
	testFailures(t,
		failure{"target", func(t *testing.T, c *cluster, l *load) {
			m := c.membersOf("front")[0]
			l.injectDuringRequests(t, m, func() { freeze(m.target) })
			freeze(c.membersOf("back")[0].target)
			c.waitServing(t)
		}},
		failure{"node", func(t *testing.T, c *cluster, l *load) {
			m := c.membersOf("front")[0]
			l.injectDuringRequests(t, m, func() { freeze(m.node) })
			freeze(c.membersOf("back")[0].node)
			c.waitServing(t)
		}},
		failure{"log", func(t *testing.T, c *cluster, l *load) {
			freeze(c.log)
		}},
	)
}

// Guards against the same faults as TestKilledProcesses when connections are cut
// or go silent, the log service is down, or responses to appends are lost.
func TestBrokenConnectionsAndLog(t *testing.T) {
	each := func(c *cluster, f func(m *member)) {
		for _, m := range c.entryNodes() {
			f(m)
		}
	}
	testFailures(t,
		failure{"connection from node to log cut", func(t *testing.T, c *cluster, l *load) {
			each(c, func(m *member) { m.logLink.CloseConnections() })
		}},
		failure{"connection from node to target cut", func(t *testing.T, c *cluster, l *load) {
			l.injectDuringRequests(t, c.membersOf("front")[0], func() { each(c, func(m *member) { m.targetLink.CloseConnections() }) })
		}},
		failure{"connection from node to log silent", func(t *testing.T, c *cluster, l *load) {
			each(c, func(m *member) { m.logLink.StallConnections() })
		}},
		failure{"connection from node to target silent", func(t *testing.T, c *cluster, l *load) {
			l.injectDuringRequests(t, c.membersOf("front")[0], c.membersOf("front")[0].targetLink.StallConnections)
			c.membersOf("back")[0].targetLink.StallConnections()
			c.waitServing(t)
		}},
		failure{"log service down", func(t *testing.T, c *cluster, l *load) {
			c.setFaults(t, logstore.Faults{Outage: true})
			waitClaimsRefused(t, l)
			reads := func(a answer) bool { return a.status == http.StatusOK && a.path[:4] != "/pay" }
			before := l.count(reads)
			waitFor(t, "reads to be served during the outage", func() bool { return l.count(reads) > before+goodputWindow })
			c.setFaults(t, logstore.Faults{})
		}},
		failure{"append responses lost", func(t *testing.T, c *cluster, l *load) {
			lost := c.counters(t, "claims.acme.front").ResponsesLost
			c.setFaults(t, logstore.Faults{LoseResponses: 5})
			waitFor(t, "the append responses to be lost", func() bool {
				return c.counters(t, "claims.acme.front").ResponsesLost >= lost+5
			})
		}},
	)
}

// waitClaimsRefused waits until requests with client keys are refused because the
// log is unavailable while requests with issued keys are served.
func waitClaimsRefused(t *testing.T, l *load) {
	t.Helper()
	refused := func(a answer) bool { return a.kind == "claim-unavailable" }
	before := l.count(refused)
	l.mu.Lock()
	paid := l.paid
	l.mu.Unlock()
	waitFor(t, "refusals without the log", func() bool { return l.count(refused) > before })
	waitFor(t, "issued keys to be served without the log", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.paid > paid+payers
	})
}

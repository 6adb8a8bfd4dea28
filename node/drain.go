package node

import (
	"context"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// leaveAnnouncement is how long a draining node goes on serving before it
// waits for its work, so that every other node has heard of the drain.
const leaveAnnouncement = 3 * time.Second

// StartDrain begins a graceful departure: new work is refused as not run, and
// the other nodes are told. Done is closed when it has finished.
func (n *Node) StartDrain() {
	if !n.draining.CompareAndSwap(false, true) {
		return
	}
	n.log.Info("draining")
	n.gossip.UpdateMeta(n.meta())
	go func() {
		n.finishWork()
		n.Close()
	}()
}

// Draining reports whether a departure has begun.
func (n *Node) Draining() bool { return n.draining.Load() }

// InProgress returns the number of requests in progress in both directions.
func (n *Node) InProgress() int { return n.work.current() }

// Done is closed when the node has left and closed its listeners.
func (n *Node) Done() <-chan struct{} { return n.closed }

// finishWork waits for everything in progress: calls to the own target, calls
// carried for callers, and sub-calls of running chains.
func (n *Node) finishWork() {
	// Requests that others sent before they heard of the drain are still
	// answered, with a refusal that names it.
	time.Sleep(leaveAnnouncement)
	overdue := time.AfterFunc(n.drainTime(), func() {
		n.log.Warn("requests still in progress after the drain time; waiting for them", "requests", n.work.current())
	})
	n.work.wait()
	overdue.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), leaveAnnouncement)
	defer cancel()
	// Shutdown waits until the last responses are written.
	for _, s := range n.servers {
		if s.name != "admin" {
			shutdown(ctx, s.http)
		}
	}
	if err := n.gossip.Leave(ctx); err != nil {
		n.log.Warn("departure announcement incomplete", "error", err)
	}
}

// drainTime returns the time that the policy expects a drain to take.
func (n *Node) drainTime() time.Duration {
	a, _ := n.target.current()
	if p := n.policyOf(a.service()); p != nil {
		return p.DrainTime
	}
	return policy.DefaultDrainTime
}

func shutdown(ctx context.Context, s *http.Server) {
	if s.Shutdown(ctx) != nil {
		s.Close()
	}
}

// Close ends the node at once and cuts off what is in progress. A drain that
// ends at the same time closes the node as well; the later call waits.
func (n *Node) Close() { n.closeOnce.Do(n.close) }

func (n *Node) close() {
	if n.stopTimer != nil {
		n.stopTimer()
	}
	n.closeServers()
	n.gossip.Close()
	n.guards.close()
	n.configuration.close()
	n.gate.Close()
	n.target.close()
	n.peers.close()
	close(n.closed)
}

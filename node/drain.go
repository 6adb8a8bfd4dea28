package node

import (
	"context"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// drainPropagationTime is how long a draining node keeps serving before it waits
// for the requests in progress, so that every other node learns of the drain.
const drainPropagationTime = 3 * time.Second

// StartDrain begins a graceful shutdown: new requests are refused as not run,
// and the other nodes are notified. Done is closed when it has finished.
func (n *Node) StartDrain() {
	if !n.draining.CompareAndSwap(false, true) {
		return
	}
	n.log.Info("draining")
	n.gossip.UpdateMeta(n.meta())
	go func() {
		n.drainAndLeave()
		n.Close()
	}()
}

// Draining reports whether a graceful shutdown has begun.
func (n *Node) Draining() bool { return n.draining.Load() }

// InProgress returns the number of requests in progress in both directions.
func (n *Node) InProgress() int { return n.inFlight.current() }

// Done is closed when the node has left and closed its listeners.
func (n *Node) Done() <-chan struct{} { return n.closed }

// drainAndLeave waits for all requests in progress (calls to the local target,
// calls forwarded for callers, and sub-calls of running chains) and then leaves
// the gossip group.
func (n *Node) drainAndLeave() {
	// Requests that other nodes sent before they learned of the drain still
	// get a response: a refusal of kind draining.
	time.Sleep(drainPropagationTime)
	overdue := time.AfterFunc(n.drainTime(), func() {
		n.log.Warn("requests still in progress after the drain time; waiting for them", "requests", n.inFlight.current())
	})
	n.inFlight.wait()
	overdue.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), drainPropagationTime)
	defer cancel()
	// Shutdown waits until the last responses are written.
	for _, s := range n.servers {
		if s.name != "admin" {
			shutdown(ctx, s.httpServer)
		}
	}
	if err := n.gossip.Leave(ctx); err != nil {
		n.log.Warn("failed to announce the departure to all nodes", "error", err)
	}
}

// drainTime returns the expected duration of a drain according to the policy.
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

// Close stops the node immediately and aborts the requests in progress. It may
// be called concurrently with the end of a drain, which also closes the node;
// the later call waits for the earlier one.
func (n *Node) Close() { n.closeOnce.Do(n.close) }

func (n *Node) close() {
	if n.stopBackground != nil {
		n.stopBackground()
	}
	n.closeServers()
	n.gossip.Close()
	n.claimGuards.close()
	n.configUpdater.close()
	n.gate.Close()
	n.target.close()
	n.peers.close()
	close(n.closed)
}

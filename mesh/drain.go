package mesh

import (
	"context"
	"time"
)

const (
	// noticeTime is how long clients go on sending after the node has said that
	// it is not ready: two checks a second apart, and what is on its way.
	noticeTime = 2500 * time.Millisecond
	// exitMargin is what remains of the grace time for the end of the process.
	exitMargin = 600 * time.Millisecond
	// drainPoll is how often the end of the work in progress is looked at.
	drainPoll = 20 * time.Millisecond
	// leaveTimeout bounds the announcement of the departure to the members.
	leaveTimeout = 300 * time.Millisecond
)

// Drain ends the node without cutting off requests: it announces the departure,
// serves what still arrives, and returns when nothing is in progress and clients
// have had time to notice, or when the grace time is nearly over.
func (n *Node) Drain() {
	if !n.draining.CompareAndSwap(false, true) {
		return
	}
	began := time.Now()
	end := began.Add(time.Duration(n.grace.Load()) - exitMargin)
	n.log.Info("node draining", "in_progress", n.work.Load(), "connections", n.callers.Connections())
	n.gossip.UpdateMeta(n.meta())
	n.callers.Drain()
	for time.Now().Before(end) {
		if time.Since(began) >= noticeTime {
			n.callers.CloseIdle()
			if n.work.Load() == 0 && n.callers.Connections() == 0 {
				break
			}
		}
		time.Sleep(drainPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.gossip.Leave(ctx); err != nil {
		n.log.Warn("departure not announced to all members", "error", err)
	}
	n.log.Info("node stopped", "in_progress", n.work.Load(), "after_ms", time.Since(began).Milliseconds())
	n.Close()
}

// Draining reports whether the node is about to end.
func (n *Node) Draining() bool { return n.draining.Load() }

// Close ends the node at once.
func (n *Node) Close() {
	n.stop()
	n.callers.Stop()
	n.peerServer.Stop()
	n.peers.Close()
	n.client.CloseIdle()
	n.gate.Close()
	// The socket is closed already after a departure.
	_ = n.gossip.Close()
}

package mesh

import (
	"context"
	"time"
)

const (
	// noticeTime is how long clients go on sending after the node has said that
	// it is not ready: two checks a second apart, and what is on its way.
	noticeTime = 2500 * time.Millisecond
	// servingTime is how long the target goes on getting work. Until clients have
	// noticed, the node is there anyway, and the target's slots are missed while
	// nodes are restarted one after the other.
	servingTime = 2200 * time.Millisecond
	// listenShare is the part of the grace time after which no connection is
	// accepted any more, even if the target still makes calls: what begins later
	// could not end in time.
	listenShare = 0.7
	// exitMargin is what remains of the grace time for the end of the process.
	exitMargin = 350 * time.Millisecond
	// drainPoll is how often the end of the work in progress is looked at.
	drainPoll = 20 * time.Millisecond
)

// Drain ends the node without cutting off requests: it is not ready any more,
// serves what callers still send, takes no more work for the target a little
// before they have had time to notice, and returns when nothing is in progress,
// or when the grace time is nearly over.
func (n *Node) Drain() {
	if !n.draining.CompareAndSwap(false, true) {
		return
	}
	began := time.Now()
	grace := time.Duration(n.grace.Load())
	end := began.Add(grace - exitMargin)
	n.log.Info("node draining", "in_progress", n.work.Load(), "at_target", n.running.len(), "connections", n.callers.Connections())
	n.callers.Drain()
	listening := true
	for time.Now().Before(end) {
		elapsed := time.Since(began)
		if elapsed >= servingTime && n.closing.CompareAndSwap(false, true) {
			n.gossip.UpdateMeta(n.meta())
		}
		// The target needs connections for the calls of what it still works on.
		if listening && elapsed >= noticeTime && (n.running.len() == 0 || elapsed >= time.Duration(float64(grace)*listenShare)) {
			listening = false
			n.callers.StopListening()
			go n.leave(end)
		}
		if !listening {
			n.callers.CloseIdle()
			if n.work.Load() == 0 && n.callers.Connections() == 0 {
				break
			}
		}
		time.Sleep(drainPoll)
	}
	n.log.Info("node stopped", "in_progress", n.work.Load(), "connections", n.callers.Connections(), "after_ms", time.Since(began).Milliseconds())
	n.Close()
}

// leave announces the departure to the members.
func (n *Node) leave(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := n.gossip.Leave(ctx); err != nil {
		n.log.Warn("departure not announced to all members", "error", err)
	}
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

package mesh

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

const (
	// readinessPropagation is how long clients may go on sending requests after
	// the node has reported that it is not ready: two health checks, one second
	// apart, plus requests in transit.
	readinessPropagation = 2500 * time.Millisecond
	// targetServingTime is how long the target still gets work during a drain.
	// Clients go on sending to the node during that time, and in a rolling
	// restart the capacity of the target would be missed.
	targetServingTime = 2200 * time.Millisecond
	// listenGraceShare is the share of the grace period after which no
	// connection is accepted, even if the target still makes sub-calls:
	// requests that arrive later could not be completed in time.
	listenGraceShare = 0.7
	// exitMargin is the part of the grace period that is left for the process
	// to exit.
	exitMargin = 350 * time.Millisecond
	// peerDrainTime bounds the time in which the peers close their connections after
	// they have been told to. It exceeds the round-trip time between any two regions.
	peerDrainTime = 300 * time.Millisecond
	// forcedPeerDrainTime replaces peerDrainTime at the end of the grace period. It
	// lies within exitMargin, and lets ready replies and the news of the end reach the
	// peers.
	forcedPeerDrainTime = 150 * time.Millisecond
	// drainPollInterval is how often Drain checks whether work is still in
	// progress.
	drainPollInterval = 20 * time.Millisecond
	// answerPollInterval is how often Drain checks whether the last answers are written.
	answerPollInterval = 5 * time.Millisecond
)

// Drain shuts the node down without interrupting requests. The node reports
// that it is not ready, serves requests that still arrive, stops sending work
// to the target shortly before clients have noticed, and returns when nothing
// is in progress or the grace period is nearly over.
func (n *Node) Drain() {
	if !n.draining.CompareAndSwap(false, true) {
		return
	}
	started := time.Now()
	grace := time.Duration(n.grace.Load())
	deadline := started.Add(grace - exitMargin)
	n.drainTimes.Store(&drainTimes{started: started, ends: deadline})
	timer := time.AfterFunc(time.Until(deadline.Add(forcedPeerDrainTime-answerEndMargin)), n.endGraceOver)
	defer timer.Stop()
	n.log.Info("node draining", "in_progress", n.inProgress.Load(), "at_target", n.inFlight.count(), "connections", n.callers.Connections())
	n.callers.Drain()
	listening := true
	for time.Now().Before(deadline) {
		elapsed := time.Since(started)
		if elapsed >= targetServingTime && n.targetClosed.CompareAndSwap(false, true) {
			n.gossip.UpdateMeta(n.memberMeta())
		}
		// The target needs connections for the sub-calls of requests that it is
		// processing or that wait for a slot.
		if listening && elapsed >= readinessPropagation && (n.executing.Load() == 0 || elapsed >= time.Duration(float64(grace)*listenGraceShare)) {
			listening = false
			n.callers.StopListening()
			go n.announceLeave(deadline)
		}
		if !listening {
			n.callers.CloseIdle()
			if n.inProgress.Load() == 0 && n.callers.Connections() == 0 {
				break
			}
		}
		time.Sleep(drainPollInterval)
	}
	n.peerServer.Drain(max(forcedPeerDrainTime, min(peerDrainTime, time.Until(deadline))))
	// What is still in progress gets an answer of this node.
	n.endGraceOver()
	for end := time.Now().Add(answerEndMargin); time.Now().Before(end) && n.callers.Connections() > 0; {
		time.Sleep(answerPollInterval)
	}
	n.log.Info("node stopped", "in_progress", n.inProgress.Load(), "connections", n.callers.Connections(), "after_ms", time.Since(started).Milliseconds())
	n.Close()
}

// failureAtEnd returns the failure of a request that may have been given up because the
// node ends. Unlike one that its caller has left, it can be sent to another node.
func (n *Node) failureAtEnd(failure *kind.Error) *kind.Error {
	if failure == nil || failure.Kind != kind.Canceled || n.graceOver.Err() == nil {
		return failure
	}
	return kind.New(kind.Draining, "the node ends before the request could be answered").WithRun(failure.Run)
}

// announceLeave tells the members that this node leaves.
func (n *Node) announceLeave(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := n.gossip.Leave(ctx); err != nil {
		n.log.Warn("failed to announce departure to all members", "error", err)
	}
}

// Draining reports whether the node is shutting down.
func (n *Node) Draining() bool { return n.draining.Load() }

// Close stops the node immediately.
func (n *Node) Close() {
	n.endGraceOver()
	n.cancel()
	n.callers.Stop()
	n.peerServer.Stop()
	for _, l := range n.listeners {
		// Still open only if the node is closed before its servers have begun.
		_ = l.Close()
	}
	n.peers.Close()
	n.client.CloseIdle()
	n.gate.Close()
	// The socket is already closed if the node has left the gossip.
	_ = n.gossip.Close()
}

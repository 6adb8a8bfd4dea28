package mesh

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

const (
	// lostCallTTL exceeds the time in which members notice that one has gone.
	lostCallTTL = 8 * time.Second
	// maxLostCalls bounds the calls that are kept.
	maxLostCalls = 1024
	// maxPeersLost is the number of peers that may end together for their calls to be
	// reported. More of them end by a failure of many instances, not by a request, and
	// reports of all nodes about all of their calls would take up the gossip.
	maxPeersLost = 2
)

// lostCall is a call that may have run at a peer that did not reply.
type lostCall struct {
	peer        routing.TargetID
	fingerprint quarantine.Fingerprint
	// knownCrashes is what the peer was told about the request.
	knownCrashes int
	requestID    string
	at           time.Time
}

// lostPeers holds lost calls until it is known whether their peer has ended, perhaps
// together with its target: then nobody else reports that end. It is safe for
// concurrent use.
type lostPeers struct {
	mu    sync.Mutex
	calls []lostCall
}

func (l *lostPeers) add(peer routing.TargetID, call *message.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.calls) >= maxLostCalls {
		l.calls = l.calls[1:]
	}
	l.calls = append(l.calls, lostCall{peer, call.Fingerprint, call.KnownCrashes, call.ID, time.Now()})
}

// takeEnded removes and returns the calls whose peer is not present any more, by peer,
// and drops those that are too old.
func (l *lostPeers) takeEnded(now time.Time, present func(routing.TargetID) bool) map[routing.TargetID][]lostCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := map[routing.TargetID][]lostCall{}
	kept := l.calls[:0]
	for _, c := range l.calls {
		switch {
		case !present(c.peer):
			ended[c.peer] = append(ended[c.peer], c)
		case now.Sub(c.at) < lostCallTTL:
			kept = append(kept, c)
		}
	}
	l.calls = kept
	return ended
}

// reportLostPeers reports the requests that were at work at peers which have ended.
func (n *Node) reportLostPeers(now time.Time) {
	present := map[routing.TargetID]bool{}
	for _, m := range n.gossip.Members() {
		present[routing.TargetID(m.ID.String())] = m.State.Present()
	}
	ended := n.lostPeers.takeEnded(now, func(id routing.TargetID) bool { return present[id] })
	reported := len(ended) <= maxPeersLost
	for peer, calls := range ended {
		var requests []string
		for _, c := range calls {
			if reported {
				for _, entry := range n.crashes.ReportLost(c.fingerprint, c.knownCrashes) {
					n.recordCrashReport(entry, false)
				}
			}
			requests = append(requests, c.requestID+" "+c.fingerprint.String())
		}
		n.log.Warn("peer ended with calls at work", "peer", string(peer), "at_work", len(calls), "reported", reported,
			"requests", requests[:min(len(requests), maxLoggedRuns)])
	}
}

package membership

import (
	"math"
	"slices"
	"time"
)

// maxNeededConfirmations is how many members besides the first must suspect a
// member independently before the minimum suspicion timeout applies. Small
// clusters need fewer.
const maxNeededConfirmations = 3

// suspicion is the state of the suspicion of one member. As in Lifeguard, the
// timeout starts at its maximum and shrinks with each independent confirmation.
type suspicion struct {
	start               time.Time
	minTimeout          time.Duration
	maxTimeout          time.Duration
	neededConfirmations int
	// suspectors holds the short hashes of the members that suspect it.
	suspectors      []uint32
	latestSuspector uint32
}

func (n *Node) newSuspicion(suspector uint32) *suspicion {
	members := float64(len(n.present) + 1)
	minTimeout := time.Duration(n.cfg.SuspicionFactor * max(1, math.Log10(members)) * float64(n.cfg.ProbeInterval))
	return &suspicion{
		start:               n.now,
		minTimeout:          minTimeout,
		maxTimeout:          time.Duration(n.cfg.SuspicionMaxFactor * float64(minTimeout)),
		neededConfirmations: min(maxNeededConfirmations, len(n.present)-2),
		suspectors:          []uint32{suspector},
		latestSuspector:     suspector,
	}
}

// confirm adds a suspector. It returns false if that one is known or if there are
// enough confirmations already.
func (s *suspicion) confirm(suspector uint32) bool {
	if len(s.suspectors) > s.neededConfirmations || slices.Contains(s.suspectors, suspector) {
		return false
	}
	s.suspectors = append(s.suspectors, suspector)
	s.latestSuspector = suspector
	return true
}

func (s *suspicion) deadline() time.Time {
	if s.neededConfirmations <= 0 {
		return s.start.Add(s.minTimeout)
	}
	confirmed := float64(len(s.suspectors) - 1)
	progress := math.Log(confirmed+1) / math.Log(float64(s.neededConfirmations)+1)
	timeout := time.Duration(float64(s.maxTimeout) - progress*float64(s.maxTimeout-s.minTimeout))
	return s.start.Add(max(timeout, s.minTimeout))
}

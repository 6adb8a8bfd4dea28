package membership

import (
	"math"
	"slices"
	"time"
)

// confirmationsWanted is how many members besides the first must suspect a
// member independently before the shortest suspicion timeout holds.
const confirmationsWanted = 3

// suspicion is the state of one suspected member. Its timeout follows Lifeguard:
// it starts long and shrinks with each independent confirmation.
type suspicion struct {
	start    time.Time
	shortest time.Duration
	longest  time.Duration
	wanted   int
	// suspectors holds short hashes of the members that suspect.
	suspectors []uint32
	latest     uint32
}

func (n *Node) newSuspicion(suspector uint32) *suspicion {
	members := float64(len(n.present) + 1)
	shortest := time.Duration(n.cfg.SuspicionFactor * max(1, math.Log10(members)) * float64(n.cfg.ProbeInterval))
	return &suspicion{
		start:      n.now,
		shortest:   shortest,
		longest:    time.Duration(n.cfg.SuspicionMaxFactor * float64(shortest)),
		wanted:     min(confirmationsWanted, len(n.present)-2),
		suspectors: []uint32{suspector},
		latest:     suspector,
	}
}

// confirm adds a suspector and reports whether that is news.
func (s *suspicion) confirm(suspector uint32) bool {
	if len(s.suspectors) > s.wanted || slices.Contains(s.suspectors, suspector) {
		return false
	}
	s.suspectors = append(s.suspectors, suspector)
	s.latest = suspector
	return true
}

func (s *suspicion) deadline() time.Time {
	if s.wanted <= 0 {
		return s.start.Add(s.shortest)
	}
	confirmed := float64(len(s.suspectors) - 1)
	share := math.Log(confirmed+1) / math.Log(float64(s.wanted)+1)
	timeout := time.Duration(float64(s.longest) - share*float64(s.longest-s.shortest))
	return s.start.Add(max(timeout, s.shortest))
}

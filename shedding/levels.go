package shedding

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

// targetLevel is the newest level known of one target.
type targetLevel struct {
	target string
	level  admission.Rank
	at     time.Time
}

// service is what the table knows about one service.
type service struct {
	targets []targetLevel
	probe   probe
}

// level returns the largest level of the targets that is recent enough, or 0.
// A request is refused early only if no target known would take it: routing
// avoids a target that refuses while others do not.
func (s *service) level(now time.Time, maxAge time.Duration) admission.Rank {
	var level admission.Rank
	for i := range s.targets {
		if t := &s.targets[i]; now.Sub(t.at) <= maxAge {
			level = max(level, t.level)
		}
	}
	return level
}

func (s *service) find(target string) *targetLevel {
	for i := range s.targets {
		if s.targets[i].target == target {
			return &s.targets[i]
		}
	}
	return nil
}

// dropOlder removes the levels from before a time and returns how many.
func (s *service) dropOlder(than time.Time) int {
	kept := s.targets[:0]
	for _, t := range s.targets {
		if !t.at.Before(than) {
			kept = append(kept, t)
		}
	}
	dropped := len(s.targets) - len(kept)
	clear(s.targets[len(kept):])
	s.targets = kept
	return dropped
}

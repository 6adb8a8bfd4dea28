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

// service holds the state of one service in a Table.
type service struct {
	targets []targetLevel
	probe   probe
}

// level returns the largest level of the targets that is at most maxAge old, or
// 0. A request is refused early only if every known target would refuse it, since
// routing avoids a target that refuses while others do not.
func (s *service) level(now time.Time, maxAge time.Duration) admission.Rank {
	var level admission.Rank
	for i := range s.targets {
		if t := &s.targets[i]; now.Sub(t.at) <= maxAge {
			level = max(level, t.level)
		}
	}
	return level
}

func (s *service) findTarget(target string) *targetLevel {
	for i := range s.targets {
		if s.targets[i].target == target {
			return &s.targets[i]
		}
	}
	return nil
}

// dropBefore removes the levels older than the given time and returns their
// number.
func (s *service) dropBefore(oldest time.Time) int {
	kept := s.targets[:0]
	for _, t := range s.targets {
		if !t.at.Before(oldest) {
			kept = append(kept, t)
		}
	}
	dropped := len(s.targets) - len(kept)
	clear(s.targets[len(kept):])
	s.targets = kept
	return dropped
}

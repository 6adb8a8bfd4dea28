package mesh

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// target guards what is known of the target beside the node.
type target struct {
	mu      sync.Mutex
	tracker *registration.Tracker
	// settled is false until the departures that an earlier process of this node
	// may have acknowledged are known, or could not be had in time.
	settled bool
}

func newTarget(interval time.Duration) *target {
	return &target{tracker: registration.NewTracker(interval)}
}

// current returns the report in force.
func (t *target) current(now time.Time) registration.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Current(now)
}

// admit returns the ID of the target if it may get work.
func (t *target) admit(now time.Time) (string, *kind.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.tracker.Current(now)
	switch {
	case r.State == registration.Draining || r.State == registration.Left:
		return "", kind.Newf(kind.Draining, "target %s is %s", r.TargetID, r.State)
	case r.State == registration.Unknown:
		return "", kind.New(kind.Starting, "the target has not reported")
	case !t.settled:
		return "", kind.New(kind.Starting, "the departures of the target are not known yet")
	}
	return r.TargetID, nil
}

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
	// applied is the description of the target that the gate was configured with.
	applied gateInput
}

// gateInput is what the gate's bounds follow from.
type gateInput struct {
	targetID string
	born     int64
	slots    int
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

// observe applies a report and returns the reports in force before and after,
// and whether it was news.
func (t *target) observe(now time.Time, r registration.Report) (before, after registration.Report, news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.tracker.Current(now)
	news = t.tracker.ApplyReport(now, r)
	return before, t.tracker.Current(now), news
}

// leave records that a target says it is gone.
func (t *target) leave(targetID string, born int64) registration.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.MarkLeft(targetID, born)
}

// remember applies departures that were learned from elsewhere.
func (t *target) remember(departures ...registration.Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range departures {
		t.tracker.ApplyDeparture(d)
	}
}

// settle allows work to the target.
func (t *target) settle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settled = true
}

// forget drops the report in force, such as when the service has changed.
func (t *target) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Reset()
}

// departures returns the departures that are known.
func (t *target) departures() []registration.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Departures()
}

// changed reports whether the gate has to be configured for a report, and
// whether that is because the target has started.
func (t *target) changed(r registration.Report) (changed, started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.State != registration.Ready {
		return false, false
	}
	input := gateInput{targetID: r.TargetID, born: r.StartedAtMs, slots: r.Slots}
	started = input.targetID != t.applied.targetID || input.born != t.applied.born
	changed = input != t.applied
	t.applied = input
	return changed, started
}

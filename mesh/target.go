package mesh

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// target holds the state of the local target. It is safe for concurrent use.
type target struct {
	mu      sync.Mutex
	tracker *registration.Tracker
	// departuresKnown is false until the departures that earlier processes of
	// this node acknowledged have been restored, or could not be read in time.
	departuresKnown bool
	// gateInput is the input with which the gate was last configured.
	gateInput gateInput
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

// report returns the current report.
func (t *target) report(now time.Time) registration.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Current(now)
}

// acceptsWork returns the report of the target if it may get work.
func (t *target) acceptsWork(now time.Time) (registration.Report, *kind.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.tracker.Current(now)
	switch {
	case r.State == registration.Draining || r.State == registration.Left:
		return registration.Report{}, kind.Newf(kind.Draining, "target %s is %s", r.TargetID, r.State)
	case r.State == registration.Unknown:
		return registration.Report{}, kind.New(kind.Starting, "the target has not reported")
	case !t.departuresKnown:
		return registration.Report{}, kind.New(kind.Starting, "the departures of the target are not known yet")
	}
	return r, nil
}

// applyReport applies a report. It returns the current report before and after,
// and whether the new one was accepted rather than ignored as old.
func (t *target) applyReport(now time.Time, r registration.Report) (before, after registration.Report, accepted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.tracker.Current(now)
	accepted = t.tracker.ApplyReport(now, r)
	return before, t.tracker.Current(now), accepted
}

// recordLeave records the departure of a target.
func (t *target) recordLeave(targetID string, born int64) registration.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.MarkLeft(time.Now(), targetID, born)
}

// addDepartures applies departures that were restored or received from a peer, and
// reports whether one of them was not known.
func (t *target) addDepartures(departures ...registration.Departure) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range departures {
		changed = t.tracker.ApplyDeparture(d) || changed
	}
	return changed
}

// setDeparturesKnown allows work to the target.
func (t *target) setDeparturesKnown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.departuresKnown = true
}

// departuresAreKnown reports whether setDeparturesKnown has been called.
func (t *target) departuresAreKnown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departuresKnown
}

// reset drops the current report, for example when the service has changed.
func (t *target) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Reset()
}

// departures returns the known departures.
func (t *target) departures() []registration.Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Departures()
}

// updateGateInput records the gate input of a report. It reports whether the
// gate has to be configured, and whether the reason is that the target has
// started.
func (t *target) updateGateInput(r registration.Report) (changed, started bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.State != registration.Ready {
		return false, false
	}
	input := gateInput{targetID: r.TargetID, born: r.StartedAtMs, slots: r.Slots}
	started = input.targetID != t.gateInput.targetID || input.born != t.gateInput.born
	changed = input != t.gateInput
	t.gateInput = input
	return changed, started
}

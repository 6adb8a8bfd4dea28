package mesh

import (
	"cmp"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// target holds the state of the local target. It is safe for concurrent use.
type target struct {
	mu      sync.Mutex
	tracker *registration.Tracker
	// configuredService is the service of the settings. It applies until a report
	// names one.
	configuredService string
	// departuresKnown is false until the departures that earlier processes of
	// this node acknowledged have been restored, or could not be read in time.
	departuresKnown bool
	// confirmation decides when the target counts as ready after the start of this
	// node. It is nil without Records: nothing outlives the processes of the node then.
	confirmation *registration.Confirmation
	// asking reports that a health check is in progress, askedAt when it began.
	asking  bool
	askedAt time.Time
	// gateInput is the input with which the gate was last configured.
	gateInput gateInput
}

// gateInput is what the gate's bounds follow from.
type gateInput struct {
	targetID string
	born     int64
	slots    int
}

func newTarget(service string, interval time.Duration, confirm bool) *target {
	t := &target{configuredService: service, tracker: registration.NewTracker(interval)}
	if confirm {
		t.confirmation = registration.NewConfirmation(time.Now())
	}
	return t
}

// service returns the service of the target.
func (t *target) service() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serviceLocked()
}

func (t *target) serviceLocked() string { return cmp.Or(t.tracker.Service(), t.configuredService) }

// report returns the current report.
func (t *target) report(now time.Time) registration.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Current(now)
}

// acceptsWork returns the report of the target if it may get work for a service. The
// address of a target that has ended may be given to one of another service.
func (t *target) acceptsWork(now time.Time, service string) (registration.Report, *kind.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.tracker.Current(now)
	own := t.serviceLocked()
	switch {
	case own != service:
		return registration.Report{}, kind.Newf(kind.Starting, "the target belongs to service %s", own)
	case r.State == registration.Draining || r.State == registration.Left:
		return registration.Report{}, kind.Newf(kind.Draining, "target %s is %s", r.TargetID, r.State)
	case r.State == registration.Unknown:
		return registration.Report{}, kind.New(kind.Starting, "the target has not reported")
	case !t.departuresKnown:
		return registration.Report{}, kind.New(kind.Starting, "the departures of the target are not known yet")
	}
	return r, nil
}

// applyReport applies a report. It returns the current report before and after, and
// whether the new one was accepted rather than ignored as old. The service of both is
// that of the target, also before its first report.
func (t *target) applyReport(now time.Time, r registration.Report) (before, after registration.Report, accepted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.tracker.Current(now)
	before.Service = t.serviceLocked()
	accepted = t.tracker.ApplyReport(now, r)
	after = t.tracker.Current(now)
	after.Service = t.serviceLocked()
	return before, after, accepted
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

// setService applies the service of the settings. If they name another one than before,
// and than the target, the current report is dropped. It reports whether it does.
func (t *target) setService(service string) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = service != t.configuredService && service != t.serviceLocked()
	t.configuredService = service
	if changed {
		t.tracker.Reset()
		if t.confirmation != nil {
			t.confirmation = registration.NewConfirmation(time.Now())
		}
	}
	return changed
}

// observeUnconfirmed passes a report to the confirmation of the target. held is false if
// the report can be applied, repeats tells whether it repeats an earlier one.
func (t *target) observeUnconfirmed(now time.Time, r registration.Report) (held, repeats bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.State != registration.Ready || t.confirmation == nil || t.confirmation.Confirmed() {
		return false, false
	}
	repeats = t.confirmation.Report(now, r)
	return !t.confirmation.Confirmed(), repeats
}

// unconfirmedService returns the service of the process that has to be asked for its
// health, if there is one.
func (t *target) unconfirmedService() (service string, pending bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmation == nil {
		return "", false
	}
	r, pending := t.confirmation.Pending()
	return r.Service, pending
}

// beginHealthCheck returns the report of the process that has to be asked for its
// health. ok is false if none has to be, or one is being asked or was asked recently.
func (t *target) beginHealthCheck(now time.Time) (r registration.Report, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asking || now.Sub(t.askedAt) < healthInterval {
		return registration.Report{}, false
	}
	if r, ok = t.confirmation.Pending(); ok {
		t.asking, t.askedAt = true, now
	}
	return r, ok
}

// recordHealth records the outcome of a health check. If the target is confirmed by it,
// it returns the report to apply.
func (t *target) recordHealth(r registration.Report, h registration.Health) (latest registration.Report, confirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asking = false
	return t.confirmation.Answer(r, h)
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

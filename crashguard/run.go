package crashguard

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

// Run is a run of a request at the local target.
type Run struct {
	guard       *Guard
	fingerprint quarantine.Fingerprint
	mode        runMode
	// until is set by GiveUp.
	until time.Time
}

// runMode is how the run of a request is restricted. Higher modes are more
// restrictive.
type runMode uint8

const (
	unrestricted runMode = iota
	besideOthers
	onTrial
)

// Suspect reports that the request is suspected to end its target.
func (r *Run) Suspect() bool { return r.mode != unrestricted }

// OnTrial reports that the request runs on trial.
func (r *Run) OnTrial() bool { return r.mode == onTrial }

// GiveUp records that the run is no longer awaited and may go on at the target until the
// given time at the latest. A trial then lasts until that time, also beyond End, so that no
// other copy of the request runs beside it.
func (r *Run) GiveUp(until time.Time) { r.until = until }

// End ends the run; completed reports that the target has responded.
func (r *Run) End(completed bool) {
	g, f := r.guard, r.fingerprint
	g.mu.Lock()
	var effects []quarantine.Effect
	switch {
	case r.mode == onTrial && !completed && !r.until.IsZero():
		g.table.EndTrialAt(f, r.until)
	case r.mode == besideOthers:
		g.table.EndBesideOthers()
	case r.mode == onTrial && !completed:
		g.table.EndTrial(f)
	}
	if completed {
		effects = g.table.Completed(time.Now(), f)
	}
	if r.mode != unrestricted {
		g.notifyLocked()
	}
	g.mu.Unlock()
	g.publish(effects)
}

package registration

import "time"

// maxMissedReports is the number of report intervals without a report after
// which the state of a target is Unknown.
const maxMissedReports = 4

// maxDepartures bounds the stored departures. An instance has a few per day.
const maxDepartures = 64

// Tracker tracks the state of the target of one node. It is not safe for
// concurrent use.
type Tracker struct {
	reportInterval time.Duration
	current        Report
	lastReportAt   time.Time
	// departures is ordered from oldest to newest.
	departures []Departure
}

// NewTracker returns a tracker of a target that reports once per interval. With
// an interval of 0, reports are never overdue.
func NewTracker(interval time.Duration) *Tracker { return &Tracker{reportInterval: interval} }

// ApplyReport applies a report and reports whether it was accepted. It ignores
// reports of an earlier process, reports older than the current one, and reports
// that a process is ready after it has announced its departure.
func (t *Tracker) ApplyReport(now time.Time, r Report) bool {
	if t.hasDeparted(r) && r.State == Ready {
		return false
	}
	c := &t.current
	switch {
	case c.State == Unknown:
	case r.TargetID == c.TargetID && r.StartedAtMs == c.StartedAtMs:
		if r.Seq <= c.Seq || c.State == Left {
			return false
		}
		if c.State == Draining && r.State == Ready {
			return false
		}
	case r.StartedAtMs < c.StartedAtMs:
		return false
	case r.StartedAtMs == c.StartedAtMs && c.State == Ready && r.State != Ready:
		// A different target with the same start time, such as one that is
		// unknown, must not end the current one.
		return false
	}
	t.current, t.lastReportAt = r, now
	if r.State != Ready {
		t.ApplyDeparture(Departure{TargetID: r.TargetID, StartedAtMs: r.StartedAtMs, Seq: r.Seq, State: r.State})
	}
	return true
}

// MarkLeft records that a target has announced that it has left, and returns the
// departure. If startedAtMs is 0, it applies to the current process of that target;
// if the target is not the current one, to all its processes that started before now.
func (t *Tracker) MarkLeft(now time.Time, targetID string, startedAtMs int64) Departure {
	d := Departure{TargetID: targetID, StartedAtMs: startedAtMs, State: Left}
	if t.current.TargetID == targetID && (startedAtMs == 0 || startedAtMs == t.current.StartedAtMs) {
		t.current.State = Left
		d.StartedAtMs, d.Seq = t.current.StartedAtMs, t.current.Seq
	}
	if d.StartedAtMs == 0 {
		d.AnnouncedAtMs = now.UnixMilli()
	}
	t.ApplyDeparture(d)
	return d
}

// ApplyDeparture stores a departure and applies it to the current target. The
// departure can come from another source than the target's reports. It reports
// whether the stored departures have changed.
func (t *Tracker) ApplyDeparture(d Departure) bool {
	changed := t.storeDeparture(d)
	if c := &t.current; c.State == Ready && t.hasDeparted(*c) {
		c.State = d.State
	}
	return changed
}

// storeDeparture adds a departure to the stored ones, or merges it with that of the
// same process, and reports whether that changes them.
func (t *Tracker) storeDeparture(d Departure) (changed bool) {
	for i := range t.departures {
		known := &t.departures[i]
		if known.TargetID == d.TargetID && known.StartedAtMs == d.StartedAtMs {
			before := *known
			known.State, known.Seq = max(known.State, d.State), max(known.Seq, d.Seq)
			known.AnnouncedAtMs = max(known.AnnouncedAtMs, d.AnnouncedAtMs)
			return *known != before
		}
	}
	if len(t.departures) >= maxDepartures {
		t.departures = t.departures[1:]
	}
	t.departures = append(t.departures, d)
	return true
}

// hasDeparted reports whether the process that sent r has announced a departure.
func (t *Tracker) hasDeparted(r Report) bool {
	for _, d := range t.departures {
		if d.of(r) {
			return true
		}
	}
	return false
}

// Reset sets the state to Unknown, for example when the process at the target's
// address is found to be another target. Departures are kept.
func (t *Tracker) Reset() { t.current = Report{} }

// Current returns the latest accepted report with its state as of now. The state
// of a ready target whose reports are overdue is Unknown.
func (t *Tracker) Current(now time.Time) Report {
	r := t.current
	if r.State == Ready && t.reportsOverdue(now) {
		r.State = Unknown
	}
	if r.State == Ready {
		r.ColdStartRemaining = max(0, r.ColdStartRemaining-now.Sub(t.lastReportAt))
	}
	return r
}

// reportsOverdue reports whether the target has missed too many reports.
func (t *Tracker) reportsOverdue(now time.Time) bool {
	return t.reportInterval > 0 && now.Sub(t.lastReportAt) > maxMissedReports*t.reportInterval
}

// Service returns the service of the latest accepted report, or "" if there is none.
func (t *Tracker) Service() string { return t.current.Service }

// Departures returns a copy of the stored departures, oldest first.
func (t *Tracker) Departures() []Departure { return append([]Departure(nil), t.departures...) }

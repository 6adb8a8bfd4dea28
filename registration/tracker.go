package registration

import "time"

// reportsMissed is the number of report intervals without a report after which
// a target counts as gone.
const reportsMissed = 4

// maxDepartures bounds the remembered departures; an instance sees a few a day.
const maxDepartures = 64

// Tracker holds the state of the target beside one node. It is not safe for
// concurrent use.
type Tracker struct {
	interval   time.Duration
	current    Report
	heardAt    time.Time
	departures []Departure
}

// NewTracker returns a tracker for a target that reports once per interval.
func NewTracker(interval time.Duration) *Tracker { return &Tracker{interval: interval} }

// Observe applies a report and tells whether it was news. A report of an
// earlier start, an older one of this start, and one of a start that has
// announced its end change nothing.
func (t *Tracker) Observe(now time.Time, r Report) bool {
	if t.departed(r) && r.State == Ready {
		return false
	}
	c := &t.current
	switch {
	case c.State == Unknown:
	case r.TargetID == c.TargetID && r.Born == c.Born:
		if r.Seq <= c.Seq || c.State == Left {
			return false
		}
		if c.State == Draining && r.State == Ready {
			return false
		}
	case r.Born < c.Born:
		return false
	case r.Born == c.Born && c.State == Ready && r.State != Ready:
		// Another target at the same address cannot end this one.
		return false
	}
	t.current, t.heardAt = r, now
	if r.State != Ready {
		t.Remember(Departure{TargetID: r.TargetID, Born: r.Born, Seq: r.Seq, State: r.State})
	}
	return true
}

// Leave records that the target has said it is gone. A target that is not the
// current one is remembered only.
func (t *Tracker) Leave(targetID string, born int64) Departure {
	d := Departure{TargetID: targetID, Born: born, State: Left}
	if t.current.TargetID == targetID && (born == 0 || born == t.current.Born) {
		t.current.State = Left
		d.Born, d.Seq = t.current.Born, t.current.Seq
	}
	t.Remember(d)
	return d
}

// Remember adds a departure that was learned from elsewhere and applies it.
func (t *Tracker) Remember(d Departure) {
	for i := range t.departures {
		known := &t.departures[i]
		if known.TargetID == d.TargetID && known.Born == d.Born {
			known.State, known.Seq = max(known.State, d.State), max(known.Seq, d.Seq)
			return
		}
	}
	if len(t.departures) >= maxDepartures {
		t.departures = t.departures[1:]
	}
	t.departures = append(t.departures, d)
	if c := &t.current; c.State == Ready && t.departed(*c) {
		c.State = d.State
	}
}

// departed reports whether the start that made r has announced its end.
func (t *Tracker) departed(r Report) bool {
	for _, d := range t.departures {
		if d.TargetID == r.TargetID && d.Born == r.Born {
			return true
		}
	}
	return false
}

// Forget returns to Unknown, such as when the target at the address turned out
// to be another one. Departures are kept.
func (t *Tracker) Forget() { t.current = Report{} }

// Current returns the latest report in force. A ready target that has not
// reported for several intervals is Unknown.
func (t *Tracker) Current(now time.Time) Report {
	r := t.current
	if r.State == Ready && t.Silent(now) {
		r.State = Unknown
	}
	if r.State == Ready {
		r.ColdFor = max(0, r.ColdFor-now.Sub(t.heardAt))
	}
	return r
}

// Silent reports whether the target has missed too many reports.
func (t *Tracker) Silent(now time.Time) bool {
	return t.interval > 0 && now.Sub(t.heardAt) > reportsMissed*t.interval
}

// Departures returns what is remembered, the oldest first.
func (t *Tracker) Departures() []Departure { return append([]Departure(nil), t.departures...) }

package registration

import "time"

// maxReportDelay exceeds the time by which a report may be late. What arrives later
// than that after a start was sent after it.
const maxReportDelay = 6 * time.Second

// maxUnansweredChecks is how many health checks may remain without a statement of the
// target before its reports alone count, as for a target that has no health path.
const maxUnansweredChecks = 3

// Confirmation decides when a node that has just started takes its target for ready.
//
// What an earlier process of the node knew of the target may be lost, also a departure
// that it has acknowledged, and a report may arrive seconds late, so a single report
// proves nothing. The first one is refused: a target that is alive repeats it, with a
// higher sequence number, while the sender of a late one waits no longer. Then the target
// itself is asked, since it knows whether it is leaving. Health checks may be wrong, so
// one that fails counts only as long as reports may be late.
type Confirmation struct {
	startedAt time.Time
	// candidate is the latest report that the target is ready, of the process that
	// started last; repeated reports that this process has sent another one before.
	candidate Report
	repeated  bool
	// unanswered counts the health checks without a statement.
	unanswered int
	confirmed  bool
}

// NewConfirmation returns the confirmation of the target of a node that has started at
// the given time.
func NewConfirmation(startedAt time.Time) *Confirmation { return &Confirmation{startedAt: startedAt} }

// Confirmed reports whether the target has been confirmed. From then on the reports of
// the node's target can be applied as they arrive.
func (c *Confirmation) Confirmed() bool { return c.confirmed }

// Report records a report that the target is ready and reports whether it repeats an
// earlier one. If not, it must not be acknowledged.
func (c *Confirmation) Report(now time.Time, r Report) (repeats bool) {
	switch {
	case c.candidate.TargetID != "" && r.SameProcess(&c.candidate):
		if r.Seq <= c.candidate.Seq {
			return false
		}
		c.repeated = true
	case r.StartedAtMs < c.candidate.StartedAtMs:
		return false
	default:
		c.repeated, c.unanswered = false, 0
	}
	c.candidate = r
	c.confirmed = c.repeated && now.Sub(c.startedAt) > maxReportDelay
	return c.repeated
}

// Pending returns the report of the process that has to be asked for its health; ok is
// false if there is none.
func (c *Confirmation) Pending() (r Report, ok bool) {
	return c.candidate, c.repeated && !c.confirmed
}

// Answer records the outcome of a health check of the process that sent r. It returns
// the report to apply if the target is confirmed by it.
func (c *Confirmation) Answer(r Report, h Health) (latest Report, confirmed bool) {
	pending, ok := c.Pending()
	if !ok || !r.SameProcess(&pending) {
		return Report{}, false
	}
	if h == HealthUnknown {
		c.unanswered++
	}
	c.confirmed = h == Healthy || c.unanswered >= maxUnansweredChecks
	return pending, c.confirmed
}

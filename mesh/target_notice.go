package mesh

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/httpconn"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// limitEndMargin is how long after the last response that named a limit a run has to
// have begun for its response, which names none, to end the limit. Responses that were
// made before the limit do not end it, nor do single ones in between.
const limitEndMargin = 200 * time.Millisecond

// targetNotice holds what the local target announces in its responses. It is safe for
// concurrent use.
type targetNotice struct {
	mu sync.Mutex
	// target identifies the process that has announced it, born is its start.
	target uint64
	born   int64
	// answered reports that this node has seen a response of that process.
	answered bool
	limited  bool
	rate     float64
	// namedAt is when the limit was last named.
	namedAt time.Time
	leaving bool
}

// targetIdentity returns the identity of the process that sent a report.
func targetIdentity(r registration.Report) uint64 {
	return xxhash.Sum64String(r.TargetID + " " + strconv.FormatInt(r.StartedAtMs, 10))
}

// observe records the notice in the response to a run that began at the given time,
// and reports whether the limit has changed, and whether the target has announced for
// the first time that it leaves.
func (t *targetNotice) observe(now, began time.Time, report registration.Report, notice httpconn.TargetNotice) (limitChanged, nowLeaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, changed := t.selectLocked(report)
	if !current {
		return false, false
	}
	t.answered = true
	if notice.Leaving && !t.leaving {
		t.leaving, nowLeaving = true, true
	}
	switch {
	case notice.Limited:
		changed = changed || !t.limited || t.rate != notice.RatePerSecond
		t.limited, t.rate, t.namedAt = true, notice.RatePerSecond, now
	case t.limited && !notice.RateUnreadable && began.Sub(t.namedAt) > limitEndMargin:
		changed = true
		t.limited, t.rate = false, 0
	}
	return changed, nowLeaving
}

// selectLocked resets the notice if it is that of an earlier process. It reports
// whether the process that sent the report is the current one, and whether a limit has
// ended.
func (t *targetNotice) selectLocked(report registration.Report) (current, limitEnded bool) {
	target := targetIdentity(report)
	if t.target == target {
		return true, false
	}
	if report.StartedAtMs < t.born {
		return false, false
	}
	limitEnded = t.limited
	t.target, t.born, t.answered, t.limited, t.rate, t.leaving = target, report.StartedAtMs, false, false, 0, false
	return true, limitEnded
}

// forget drops the limit of an earlier process than the one that sent the report, and
// reports whether there was one.
func (t *targetNotice) forget(report registration.Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, limitEnded := t.selectLocked(report)
	return limitEnded
}

// adopt takes over what a peer knows; the limit only if this node has not seen a
// response of the process itself. It reports whether the limit has changed, and whether
// it is news that the target leaves.
func (t *targetNotice) adopt(now time.Time, report registration.Report, notice *message.TargetNotice) (limitChanged, nowLeaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, changed := t.selectLocked(report)
	if !current {
		return false, false
	}
	if notice.Leaving && !t.leaving {
		t.leaving, nowLeaving = true, true
	}
	if t.answered || notice.RatePerSecond <= 0 || t.limited && t.rate == notice.RatePerSecond {
		return changed, nowLeaving
	}
	t.limited, t.rate, t.namedAt = true, notice.RatePerSecond, now
	return true, nowLeaving
}

// limit returns the requests per second that the target takes, if it has announced a
// limit.
func (t *targetNotice) limit() (rate float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rate, t.limited
}

// message returns the notice for peers, nil if there is nothing to tell.
func (t *targetNotice) message() *message.TargetNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.limited && !t.leaving {
		return nil
	}
	m := &message.TargetNotice{Target: t.target, Leaving: t.leaving}
	if t.limited {
		m.RatePerSecond = max(t.rate, admission.MinRatePerSecond)
	}
	return m
}

// observeNotice records what the target announces in a response.
func (n *Node) observeNotice(began time.Time, report registration.Report, notice httpconn.TargetNotice) {
	if notice.RateUnreadable {
		n.logLimited("limit of the target not readable", "target", report.TargetID, "text", notice.InvalidRate)
	}
	limitChanged, nowLeaving := n.notice.observe(time.Now(), began, report, notice)
	n.applyNotice(report, "answer", limitChanged, nowLeaving)
}

// adoptNotice takes over what the sender of a call knows about the local target: this
// node may have been restarted since the target announced it.
func (n *Node) adoptNotice(notice *message.TargetNotice) {
	if notice == nil {
		return
	}
	report := n.target.report(time.Now())
	if notice.Target != targetIdentity(report) {
		return
	}
	limitChanged, nowLeaving := n.notice.adopt(time.Now(), report, notice)
	n.applyNotice(report, "peer", limitChanged, nowLeaving)
}

// applyNotice puts in force what the target has announced anew.
func (n *Node) applyNotice(report registration.Report, source string, limitChanged, nowLeaving bool) {
	if limitChanged {
		n.applyTargetLimit(report, source)
	}
	if nowLeaving {
		n.targetLeaving(report, source)
	}
}

// targetLeaving handles the news that the target leaves, as a report of it would. The
// departure is not acknowledged to the target, so nothing waits for it to be saved.
func (n *Node) targetLeaving(report registration.Report, source string) {
	n.log.Info("target announces in its answers that it leaves", "target", report.TargetID, "born", report.StartedAtMs, "source", source, "state", report.State.String())
	d := registration.Departure{TargetID: report.TargetID, StartedAtMs: report.StartedAtMs, Seq: report.Seq, State: registration.Draining}
	n.learnDepartures(d)
	n.broadcastDeparture(d)
}

// applyTargetLimit puts the announced limit in force.
func (n *Node) applyTargetLimit(report registration.Report, source string) {
	rate, limited := n.notice.limit()
	arrivals, _ := n.gate.Demand()
	inForce := 0.0
	if limited {
		inForce = max(rate, admission.MinRatePerSecond)
	}
	n.gate.SetRate(time.Now(), inForce)
	n.logLimited("limit of the target changed", "target", report.TargetID, "born", report.StartedAtMs, "source", source,
		"limited", limited, "rate_per_s", rate, "arrivals_per_s", arrivals)
}

package mesh

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/httpconn"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// targetNotice holds what the local target announces in its responses. It is safe for
// concurrent use.
type targetNotice struct {
	mu sync.Mutex
	// targetID and born identify the process that has announced it.
	targetID string
	born     int64
	limited  bool
	rate     float64
	// since is when the limit was last changed.
	since   time.Time
	leaving bool
}

// observe records the notice in the response to a run that began at the given time,
// and reports what has changed. Only a response to a run that began after the limit
// was announced can end it: others may have been made before.
func (t *targetNotice) observe(now, began time.Time, report registration.Report, notice httpconn.TargetNotice) (limitChanged, nowLeaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targetID != report.TargetID || t.born != report.StartedAtMs {
		if report.StartedAtMs < t.born {
			return false, false
		}
		limitChanged = t.limited
		t.targetID, t.born, t.limited, t.rate, t.leaving = report.TargetID, report.StartedAtMs, false, 0, false
	}
	switch {
	case notice.Limited && (!t.limited || t.rate != notice.RatePerSecond):
		t.limited, t.rate, t.since = true, notice.RatePerSecond, now
		limitChanged = true
	case !notice.Limited && !notice.RateUnreadable && t.limited && began.After(t.since):
		t.limited, t.rate, t.since = false, 0, now
		limitChanged = true
	}
	if notice.Leaving && !t.leaving {
		t.leaving, nowLeaving = true, true
	}
	return limitChanged, nowLeaving
}

// limit returns the requests per second that the target takes, if it has announced a
// limit.
func (t *targetNotice) limit() (rate float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rate, t.limited
}

// observeNotice records what the target announces in a response.
func (n *Node) observeNotice(began time.Time, report registration.Report, notice httpconn.TargetNotice) {
	if notice.RateUnreadable {
		n.logLimited("limit of the target not readable", "target", report.TargetID, "text", notice.InvalidRate)
	}
	limitChanged, nowLeaving := n.notice.observe(time.Now(), began, report, notice)
	if limitChanged {
		rate, limited := n.notice.limit()
		arrivals, _ := n.gate.Demand()
		n.logLimited("limit of the target changed", "target", report.TargetID, "born", report.StartedAtMs, "limited", limited, "rate_per_s", rate, "arrivals_per_s", arrivals)
	}
	if nowLeaving {
		n.log.Info("target announces in a response that it leaves", "target", report.TargetID, "born", report.StartedAtMs, "state", report.State.String())
	}
}

package mesh

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

const (
	// targetEndMargin is how long before the end of a draining node a target has to
	// have answered: its response still has to return through two nodes.
	targetEndMargin = 200 * time.Millisecond
	// answerEndMargin is how long before the end of a draining node a caller gets its
	// answer at the latest.
	answerEndMargin = 50 * time.Millisecond
)

// drainTimes are the times of a node's drain.
type drainTimes struct {
	// started is when the drain began, ends when the process ends by force.
	started, ends time.Time
}

// limit returns a deadline by which a target ends its work before a draining node
// ends, and until when its answer is awaited; limited is false if the given deadline
// is soon enough. A deadline that has been limited stays as it is.
func (d *drainTimes) limit(deadline time.Time) (sooner, answerBy time.Time, limited bool) {
	if d == nil {
		return deadline, deadline, false
	}
	last := d.ends.Add(-targetEndMargin)
	if deadline.Before(last) {
		return deadline, deadline, false
	}
	return last, d.ends.Add(-answerEndMargin), true
}

// bound limits a request of a caller to the time that a draining node has left.
// Without it, requests that outlast the process end without an answer. The target is
// told the sooner deadline, and ends by itself. It is not changed for a request that
// ends in time anyway.
//
// Callers that have not noticed the drain yet send requests until
// readinessPropagation has passed. A request that begins a chain later is refused if
// it may outlast the process: a target may not end in time by itself.
func (d *drainTimes) bound(q *request, arrived time.Time) *kind.Error {
	last, answerBy, limited := d.limit(q.call.Deadline)
	if !limited {
		return nil
	}
	if q.root && arrived.Sub(d.started) >= readinessPropagation {
		return kind.Newf(kind.Draining, "the node ends in %d ms, before the request may have", last.Sub(arrived).Milliseconds())
	}
	q.call.Deadline, q.answerBy = last, answerBy
	return nil
}

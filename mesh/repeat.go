package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// maxUnsent bounds the attempts that reached no target, such as at nodes that
	// have ended or refuse work.
	maxUnsent = 4
	// maxRefusals bounds how often targets are asked that refuse a request. At a
	// share of one half, one request in 256 is refused so often.
	maxRefusals = 8
	// refusalPause lets a target that is full for a moment end a request.
	refusalPause = 3 * time.Millisecond
)

// again reports whether the request is sent once more after a reply.
func (f *forwarding) again(ctx context.Context, reply *message.Reply) bool {
	q := f.request
	failure := reply.Failure
	if failure == nil && (reply.Response.Status < http.StatusInternalServerError || q.call.Unsafe || reply.DependencyFailed) {
		// A run that failed because of a sub-call fails in the same way elsewhere,
		// and every repeat multiplies the calls of the overloaded service.
		return false
	}
	if ctx.Err() != nil {
		if failure == nil || failure.Run != kind.NotRun {
			f.uncertain = true
		}
		return false
	}
	notRun := failure != nil && failure.Run == kind.NotRun
	q.notRepeated = ""
	if !notRun {
		f.uncertain = true
	}
	if failure == nil {
		f.answered = reply
	}
	if failure != nil && (!kind.ResponseFor(failure.Kind).Retryable || failure.Kind == kind.NoTarget) {
		return false
	}
	if !notRun && q.call.Unsafe {
		q.notRepeated = "it may have run"
		return false
	}
	if failure != nil && notRun && !reachedTarget(failure) {
		f.unsent++
		return f.unsent < maxUnsent && !overloaded(failure)
	}
	if failure != nil && notRun {
		f.refusedBy = append(f.refusedBy, f.tried[len(f.tried)-1])
		q.call.Repeat = true
		return f.repeatRefused(ctx)
	}
	q.attempts++
	if q.attempts >= max(q.route.MaxAttempts, 1) {
		q.notRepeated = "its route allows no further target"
		return false
	}
	if time.Until(q.call.Deadline) < minTimeLeft {
		q.notRepeated = "no time left"
		return false
	}
	return f.repeat()
}

// repeatRefused decides whether a request that a target has refused is sent
// again, and waits a moment before.
func (f *forwarding) repeatRefused(ctx context.Context) bool {
	q := f.request
	switch {
	case len(f.refusedBy) > maxRefusals:
		q.notRepeated = "refused too often"
	case !f.node.budgets.chosen(time.Now(), q.call.Service, positionOf(q.call)):
		q.notRepeated = "the budget is kept for other chains"
	case !f.pause(ctx):
		q.notRepeated = "no time left"
	default:
		return f.repeat()
	}
	return false
}

// repeat pays for a further attempt, if the budget allows one.
func (f *forwarding) repeat() bool {
	q := f.request
	allowed := f.node.budgets.take(time.Now(), f.node.runsOf(q.route, q.call.Service), int(q.call.Importance))
	if allowed {
		f.node.metrics.retries.Inc()
	} else {
		q.notRepeated = "the budget is used up"
	}
	return allowed
}

// pause waits a moment before a target is asked again, and reports whether there
// is time left for that.
func (f *forwarding) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(refusalPause):
		return time.Until(f.request.call.Deadline) >= minTimeLeft
	}
}

// reachedTarget reports whether an attempt that did not run arrived at a target
// all the same, which counts against the retry budget.
func reachedTarget(f *kind.Error) bool { return f.Kind == kind.TargetRefused }

// overloaded reports a refusal that another target would repeat: routing has
// already chosen the target with the most room.
func overloaded(f *kind.Error) bool { return f.Kind == kind.Shed || f.Kind == kind.QueueTimeout }

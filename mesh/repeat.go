package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// maxNotSent bounds the attempts that reach no target, for example because
	// the node has stopped or the target takes fewer requests.
	maxNotSent = 4
	// maxRefusals bounds how often a request is retried after refusals by
	// targets. If half of all attempts are refused, one request in 256 reaches
	// this bound.
	maxRefusals = 8
	// refusalRetryDelay is the delay before the retry of a refused request, in
	// which a briefly full target can complete another request.
	refusalRetryDelay = 3 * time.Millisecond
)

// shouldRetry records the outcome of an attempt and reports whether the request
// is sent again. Before it returns true it spends the retry budget and waits as
// needed.
func (f *forwarding) shouldRetry(ctx context.Context, reply *message.Reply) bool {
	q := f.request
	failure := reply.Failure
	if failure == nil && (reply.Response.Status < http.StatusInternalServerError || q.call.Unsafe || reply.DependencyFailed) {
		// A request that failed because of a sub-call would fail in the same
		// way elsewhere, and each retry multiplies the calls to the overloaded
		// service.
		return false
	}
	if ctx.Err() != nil {
		if failure == nil || failure.Run != kind.NotRun {
			f.mayHaveRun = true
		}
		return false
	}
	notRun := failure != nil && failure.Run == kind.NotRun
	q.notRetriedReason = ""
	if !notRun {
		f.mayHaveRun = true
	}
	if failure == nil {
		f.targetReply = reply
	}
	if failure != nil && (!kind.ResponseFor(failure.Kind).Retryable || failure.Kind == kind.NoTarget) {
		return false
	}
	if !notRun && q.call.Unsafe {
		q.notRetriedReason = "it may have run"
		return false
	}
	if !notRun && failure != nil && q.call.KnownCrashes > 0 {
		q.notRetriedReason = "it may have crashed a target again"
		return false
	}
	if failure != nil && f.node.awaitsTrialTarget(q.call, failure) {
		q.notRetriedReason = "it is tried at one target at a time, which is away"
		return false
	}
	if failure != nil && notRun && !reachedTarget(failure) {
		f.notSent++
		if failure.Kind == kind.RateLimited {
			// The request has been counted as an arrival at that target.
			q.call.Repeat = true
			q.call.WaitForRate = !f.node.othersTakeMore(time.Now(), q.call.Service, reply.Notice)
		}
		return f.notSent < maxNotSent && !overloaded(failure)
	}
	if failure != nil && notRun {
		f.refusedBy = append(f.refusedBy, f.tried[len(f.tried)-1])
		q.call.Repeat = true
		return f.shouldRetryRefused(ctx)
	}
	q.possibleRuns++
	if q.possibleRuns >= max(q.route.MaxAttempts, 1) {
		q.notRetriedReason = "the route allows no further attempts"
		return false
	}
	if time.Until(q.call.Deadline) < minTimeLeft {
		q.notRetriedReason = "no time left"
		return false
	}
	return f.spendRetry()
}

// shouldRetryRefused reports whether a request that a target refused is
// retried. It waits refusalRetryDelay before.
func (f *forwarding) shouldRetryRefused(ctx context.Context) bool {
	q := f.request
	switch {
	case len(f.refusedBy) > maxRefusals:
		q.notRetriedReason = "the limit of refusals is reached"
	case !f.node.budgets.admitsRetry(time.Now(), q.call.Service, chainPosition(q.call)):
		q.notRetriedReason = "the retry budget is reserved for other chains"
	case !f.waitForRetry(ctx):
		q.notRetriedReason = "no time left"
	default:
		return f.spendRetry()
	}
	return false
}

// spendRetry takes the tokens for another attempt and reports whether the retry
// budget allows it.
func (f *forwarding) spendRetry() bool {
	q := f.request
	allowed := f.node.budgets.trySpend(time.Now(), f.node.expectedRuns(q.chainStart()), int(q.call.Importance))
	if allowed {
		f.node.metrics.retries.Inc()
	} else {
		q.notRetriedReason = "the retry budget is exhausted"
	}
	return allowed
}

// waitForRetry waits refusalRetryDelay and reports whether there is time left
// for another attempt.
func (f *forwarding) waitForRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(refusalRetryDelay):
		return time.Until(f.request.call.Deadline) >= minTimeLeft
	}
}

// reachedTarget reports whether an attempt that was not run still reached a
// target. A retry after it is charged to the retry budget.
func reachedTarget(f *kind.Error) bool { return f.Kind == kind.TargetRefused }

// overloaded reports a refusal that other targets would repeat: the target with
// the most free capacity has already been selected.
func overloaded(f *kind.Error) bool { return f.Kind == kind.Shed || f.Kind == kind.QueueTimeout }

package mesh

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/crashguard"
	"github.com/goldcrestsail/goldcrestsail/gate"
	"github.com/goldcrestsail/goldcrestsail/httpconn"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/limit"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// targetAnswerMargin is how long after its deadline the answer of a target is awaited:
// it ends its work at the deadline by itself, and says so.
const targetAnswerMargin = 25 * time.Millisecond

// servePeer executes a call received from another node.
func (n *Node) servePeer(ctx context.Context, call *message.Call) *message.Reply {
	n.inProgress.Add(1)
	defer n.inProgress.Add(-1)
	call.Fingerprint = fingerprintOf(call)
	n.adoptNotice(call.Notice)
	return n.execute(ctx, call)
}

// execute executes a call on the local target.
func (n *Node) execute(ctx context.Context, call *message.Call) *message.Reply {
	reply := n.admitAndExecute(ctx, call)
	reply.Load, reply.Notice = n.gate.Load(), n.notice.message()
	if reply.Failure != nil {
		n.logUnansweredCall(call, reply)
	}
	if n.target.service() != call.Service {
		// The load says nothing about the service of the call.
		reply.Load = nil
	}
	return reply
}

func (n *Node) admitAndExecute(ctx context.Context, call *message.Call) *message.Reply {
	// A call is counted before the check, so that Drain does not miss it.
	n.executing.Add(1)
	defer n.executing.Add(-1)
	if n.targetClosed.Load() {
		return &message.Reply{Failure: kind.New(kind.Draining, "the node beside the target is about to end")}
	}
	guarded, id, report, failure := n.admit(ctx, call)
	if failure != nil {
		return &message.Reply{Failure: failure}
	}
	answered := false
	defer func() { guarded.End(answered) }()
	bounded := *call
	deadline, answerBy, limited := n.drainTimes.Load().limit(call.Deadline)
	if limited && time.Until(deadline) < minTimeLeft {
		n.gate.Release(id, nil)
		return &message.Reply{Failure: kind.New(kind.Draining, "the node beside the target ends before the call could")}
	}
	bounded.Deadline = deadline
	entry := n.inFlight.add(time.Now(), &bounded)
	sent := bounded
	sent.Deadline = entry.deadline
	runCtx, endRun := n.runContext(ctx, &sent, guarded.OnTrial())
	response, failure := n.sendToTarget(runCtx, &sent, report, answerBy.Add(targetAnswerMargin))
	endRun()
	if answered = failure == nil; answered {
		n.ends.alive(entry.started)
	}
	failure, crashReport := n.observeTargetEnd(&sent, guarded, failure)
	ownTime, totalTime := n.inFlight.remove(time.Now(), entry)
	n.metrics.targetTime.Update(totalTime.Seconds())
	n.gate.Release(id, limiterSample(response, failure, ownTime, totalTime))
	visited, dependencyFailed := n.inFlight.subCallOutcome(entry)
	reply := &message.Reply{Failure: failure, Cutoffs: n.downstreamCutoffs(visited, time.Now()), DependencyFailed: dependencyFailed, CrashReport: crashReport}
	reply.Visited = append(visited, message.Visit{Service: call.Service, Runs: 1})
	if failure == nil {
		reply.Response, reply.OwnTime = &response.Response, ownTime
	}
	return reply
}

// admit begins a run of a call, waits for a slot of the target, and returns the report
// of the target that the call may be sent to.
func (n *Node) admit(ctx context.Context, call *message.Call) (*crashguard.Run, admission.ID, registration.Report, *kind.Error) {
	for {
		if _, failure := n.target.acceptsWork(time.Now(), call.Service); failure != nil {
			return nil, 0, registration.Report{}, failure
		}
		guarded, failure := n.beginRun(ctx, call)
		if failure != nil {
			return nil, 0, registration.Report{}, failure
		}
		id, report, failure := n.acquireSlot(ctx, call)
		if failure != nil {
			guarded.End(false)
			return nil, 0, registration.Report{}, failure
		}
		if !n.crashes.Outdated(guarded, call.KnownCrashes) {
			return guarded, id, report, nil
		}
		// The request has become suspect while it was queued.
		n.gate.Release(id, nil)
		guarded.End(false)
	}
}

// acquireSlot waits for a slot of the target and returns the report of the target whose
// slot it is: while the call is queued, the target may announce its departure, or another
// one may get its address.
func (n *Node) acquireSlot(ctx context.Context, call *message.Call) (admission.ID, registration.Report, *kind.Error) {
	rank := admission.MakeRank(int(call.Importance), call.Admitted, call.ChainLevel)
	awaited, failure := n.target.acceptsWork(time.Now(), call.Service)
	if failure != nil {
		return 0, registration.Report{}, failure
	}
	for {
		enqueuedAt := time.Now()
		id, failure := n.gate.Acquire(ctx, gate.Request{Rank: rank, Deadline: call.Deadline, MaxWait: call.MaxWait, Repeat: call.Repeat, WaitForRate: call.WaitForRate})
		if failure != nil {
			return 0, registration.Report{}, failure
		}
		n.metrics.queueTime.Update(time.Since(enqueuedAt).Seconds())
		report, failure := n.target.acceptsWork(time.Now(), call.Service)
		if failure == nil && report.SameProcess(&awaited) {
			return id, report, nil
		}
		n.gate.Release(id, nil)
		if failure != nil {
			return 0, registration.Report{}, failure
		}
		awaited = report
	}
}

// runContext returns the context of a run and the function that ends it. An idempotent
// request is canceled when its caller disconnects; an unsafe one continues, since it may
// already have had an effect, and one on trial for trialLinger, since the next copy would
// otherwise be tried before this one has shown whether it ends the target.
func (n *Node) runContext(ctx context.Context, call *message.Call, onTrial bool) (context.Context, context.CancelFunc) {
	if !call.Unsafe && !onTrial {
		return ctx, func() {}
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if call.Unsafe {
		return runCtx, cancel
	}
	stop := context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(trialLinger, cancel)
		context.AfterFunc(runCtx, func() { timer.Stop() })
	})
	return runCtx, func() {
		stop()
		cancel()
	}
}

// sendToTarget sends a request to the target, and cancels it when ctx ends. The response is
// awaited until answerBy.
func (n *Node) sendToTarget(ctx context.Context, call *message.Call, report registration.Report, answerBy time.Time) (*httpconn.TargetResponse, *kind.Error) {
	sendCtx, cancel := context.WithDeadline(ctx, answerBy)
	defer cancel()
	defer context.AfterFunc(n.graceOver, cancel)()
	began := time.Now()
	response, failure := n.client.Do(sendCtx, call, report.TargetID)
	if failure != nil {
		return nil, n.failureAtEnd(failure)
	}
	if !response.Misdirected {
		n.observeNotice(began, report, response.Notice)
	}
	if response.Load != nil {
		n.gate.ObserveReport(time.Now(), limit.Report{Healthy: true, Capacity: response.Load.Slots})
	}
	switch {
	case response.Misdirected:
		return nil, kind.Newf(kind.Starting, "another target than %s has its address", report.TargetID)
	case response.NotRun:
		return nil, kind.Newf(kind.TargetRefused, "the target refused the request with status %d", response.Status)
	}
	return response, nil
}

// limiterSample returns the sample for the concurrency limiter, or nil if the
// request says nothing about the target.
func limiterSample(response *httpconn.TargetResponse, failure *kind.Error, ownTime, totalTime time.Duration) *limit.Sample {
	sample := &limit.Sample{Latency: ownTime, Total: totalTime}
	switch {
	case failure == nil:
		return sample
	case failure.Kind == kind.DeadlineExpired:
		sample.TimedOut = true
	case failure.Kind == kind.TargetRefused:
		sample.Refused = true
	default:
		return nil
	}
	return sample
}

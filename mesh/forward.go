package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/pressure"
	"github.com/goldcrestsail/goldcrestsail/routing"
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
	// subset is the number of targets of a service that a node calls. With 8 of 31
	// targets, some were in the subsets of many busy nodes and overloaded beside
	// idle ones; one connection to each is cheap.
	subset = 32
	// The margin between a caller's deadline and the one that the target's node
	// is told lets the reply of that node arrive in time.
	replyMargin = 4 * time.Millisecond
	// minTimeLeft is the least time for which a request is sent.
	minTimeLeft = 5 * time.Millisecond
)

// forwarding is the state of one request over its attempts.
type forwarding struct {
	node    *Node
	request *request
	tried   []routing.TargetID
	// unsent counts the attempts that reached no target.
	unsent int
	// uncertain reports that an attempt may have run.
	uncertain bool
	// answered is the latest response of a target, if the request was repeated
	// although there was one.
	answered *message.Reply
	// refusedBy lists the targets that refused the request, in order.
	refusedBy []routing.TargetID
}

// forward sends a request to a target of its service, and again to another one
// as far as its route and the retry budget allow.
func (n *Node) forward(ctx context.Context, q *request) *message.Reply {
	f := &forwarding{node: n, request: q}
	n.budgets.attempt(time.Now(), q.call.Service)
	for {
		reply := f.attempt(ctx)
		if !f.again(ctx, reply) {
			return f.final(reply)
		}
	}
}

// final returns what the caller gets after the last attempt: a response that a
// target made, even a failure, rather than one of this node's own.
func (f *forwarding) final(last *message.Reply) *message.Reply {
	if last.Failure == nil {
		return last
	}
	if f.answered != nil {
		return f.answered
	}
	if f.uncertain {
		last.Failure.Run = kind.MayHaveRun
	}
	return last
}

// attempt sends the request once.
func (f *forwarding) attempt(ctx context.Context) *message.Reply {
	n, call := f.node, f.request.call
	start := time.Now()
	if call.Deadline.Sub(start) < minTimeLeft {
		return &message.Reply{Failure: kind.New(kind.DeadlineExpired, "no time left to send the request").WithRun(kind.NotRun)}
	}
	id, address, failure := f.pick(start)
	if failure != nil {
		return &message.Reply{Failure: failure}
	}
	f.tried = append(f.tried, id)
	var reply *message.Reply
	if id == n.selfID() {
		reply = n.execute(ctx, call)
	} else {
		reply = n.callPeer(ctx, address, call)
	}
	now := time.Now()
	n.metrics.sent.Inc()
	n.metrics.hop.Update(now.Sub(start).Seconds())
	f.request.sent++
	if reply.Failure == nil || reachedTarget(reply.Failure) {
		n.budgets.answered(now, call.Service, int(call.Importance), f.request.sent == 1, reply.Failure != nil)
	}
	if reply.Failure != nil {
		n.logAttempt(call, string(id), id == n.selfID(), reply.Failure, now.Sub(start))
	}
	n.directory.Done(now, call.Service, id, resultOf(f.request, now.Sub(start), reply))
	n.observeCutoffs(call.Service, id, reply, now)
	return reply
}

// callPeer sends a call to the node of another target.
func (n *Node) callPeer(ctx context.Context, address string, call *message.Call) *message.Reply {
	sent := *call
	sent.Deadline = call.Deadline.Add(-replyMargin)
	reply, failure := n.peers.Get(address).Call(ctx, &sent)
	if failure != nil {
		return &message.Reply{Failure: failure}
	}
	return reply
}

func (f *forwarding) pick(now time.Time) (routing.TargetID, string, *kind.Error) {
	call := f.request.call
	in := routing.PickInput{
		Exclude: f.tried, MayProbe: !call.Unsafe, Importance: int(call.Importance), Subset: subset,
		Class: f.request.route.Name, Left: call.Deadline.Sub(now),
	}
	if n := len(f.refusedBy); n >= max(f.request.route.MaxAttempts, 1) {
		// The request may go to no further target, but to those that refused it.
		in = routing.PickInput{Pinned: f.refusedBy[n%max(f.request.route.MaxAttempts, 1)]}
	}
	return f.node.directory.Pick(now, call.Service, in)
}

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
	if failure != nil && (!kind.AnswerFor(failure.Kind).Retry || failure.Kind == kind.NoTarget) {
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

// observeCutoffs records the cutoffs that came with a reply. Open ones of the
// services below are not sent; theirs expire.
func (n *Node) observeCutoffs(service string, id routing.TargetID, reply *message.Reply, now time.Time) {
	if reply.Load == nil && len(reply.Cutoffs) == 0 {
		return
	}
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	if reply.Load != nil {
		n.chains.table.Observe(service, string(id), pressure.Cutoff(reply.Load.Cutoff), now)
	}
	for _, c := range reply.Cutoffs {
		n.chains.table.Observe(c.Service, string(id), pressure.Cutoff(c.Cutoff), now.Add(-c.Age))
	}
}

// resultOf returns what routing learns from a reply.
func resultOf(q *request, latency time.Duration, reply *message.Reply) routing.Result {
	result := routing.Result{Importance: int(q.call.Importance), Latency: latency}
	if reply.Failure != nil {
		result.Kind = reply.Failure.Kind
		if result.Kind == kind.DeadlineExpired && reply.Load != nil && reply.Failure.Run != kind.NotRun {
			// The target had the request, and its node says that it did not answer.
			result.Class = q.route.Name
		}
	}
	if reply.Response != nil {
		result.Responded, result.Status = true, reply.Response.Status
		if reply.DependencyFailed {
			result.Status = http.StatusOK
		} else {
			result.Class, result.OwnTime = q.route.Name, reply.OwnTime
		}
	}
	if load := reply.Load; load != nil {
		result.Responded = true
		result.Load = &routing.Load{
			InFlight: int(load.Running), Waiting: int(load.Waiting), Limit: int(load.Limit), ServiceTime: load.ServiceTime,
			Draining: reply.Failure != nil && reply.Failure.Kind == kind.Draining,
		}
		for _, count := range load.ByImportance {
			result.Load.ByImportance = append(result.Load.ByImportance, int(count))
		}
	}
	return result
}

package mesh

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

const (
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
		Exclude: f.tried, MayProbe: !call.Unsafe, Importance: int(call.Importance), SubsetSize: subset,
		Class: f.request.route.Name, TimeLeft: call.Deadline.Sub(now),
	}
	if n := len(f.refusedBy); n >= max(f.request.route.MaxAttempts, 1) {
		// The request may go to no further target, but to those that refused it.
		in = routing.PickInput{Pinned: f.refusedBy[n%max(f.request.route.MaxAttempts, 1)]}
	}
	return f.node.directory.Pick(now, call.Service, in)
}

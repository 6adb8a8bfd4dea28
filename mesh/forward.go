package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

const (
	// subsetSize is the number of targets of a service that a node calls. With
	// 8 of 31 targets, some targets were in the subsets of many busy nodes and
	// were overloaded while others were idle. One connection to each target is
	// cheap.
	subsetSize = 32
	// replyMargin is subtracted from the caller's deadline before the call is
	// sent to the target's node, so that the reply of that node arrives in
	// time.
	replyMargin = 4 * time.Millisecond
	// minTimeLeft is the least remaining time with which a request is sent.
	minTimeLeft = 5 * time.Millisecond
)

// forwarding is the state of one request across its attempts.
type forwarding struct {
	node    *Node
	request *request
	tried   []routing.TargetID
	// notSent counts the attempts that reached no target.
	notSent int
	// mayHaveRun reports that an earlier attempt may have run.
	mayHaveRun bool
	// targetReply is the latest response of a target, if the request was
	// retried despite it.
	targetReply *message.Reply
	// refusedBy lists the targets that refused the request, in order.
	refusedBy []routing.TargetID
}

// forward sends a request to a target of its service and retries it as far as
// its route and the retry budget allow.
func (n *Node) forward(ctx context.Context, q *request) *message.Reply {
	f := &forwarding{node: n, request: q}
	n.budgets.recordFirstAttempt(time.Now(), q.call.Service)
	for {
		reply := f.attempt(ctx)
		if !f.shouldRetry(ctx, reply) {
			return f.finalReply(reply)
		}
	}
}

// finalReply returns the reply for the caller after the last attempt. A
// response of a target, even a failure, takes precedence over a failure of this
// node.
func (f *forwarding) finalReply(last *message.Reply) *message.Reply {
	if last.Failure == nil {
		return last
	}
	if f.targetReply != nil {
		return f.targetReply
	}
	if f.mayHaveRun {
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
	if failure := n.checkQuarantine(call); failure != nil {
		return &message.Reply{Failure: failure}
	}
	id, address, failure := f.pickTarget(start)
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
	n.metrics.attempts.Inc()
	n.metrics.attemptTime.Update(now.Sub(start).Seconds())
	f.request.attempts++
	if reply.Failure == nil || reachedTarget(reply.Failure) {
		n.budgets.recordAnswer(now, call.Service, int(call.Importance), f.request.attempts == 1, reply.Failure != nil)
	}
	if reply.Failure != nil {
		n.logFailedAttempt(call, string(id), id == n.selfID(), reply.Failure, now.Sub(start))
	}
	n.directory.Done(now, call.Service, id, routingResult(f.request, now.Sub(start), reply))
	n.observeCutoffs(call.Service, id, reply, now)
	n.observeCrash(call, reply)
	if reply.Failure != nil && reply.Failure.Kind == kind.PeerLost && reply.Failure.Run != kind.NotRun {
		n.lostPeers.add(id, call)
	}
	return reply
}

// callPeer sends a call to the node of another target.
func (n *Node) callPeer(ctx context.Context, address string, call *message.Call) *message.Reply {
	sent := *call
	sent.Deadline = call.Deadline.Add(-replyMargin)
	sent.Notice = n.peerNotices.get(time.Now(), address)
	reply, failure := n.peers.Get(address).Call(ctx, &sent)
	if failure != nil {
		return &message.Reply{Failure: failure}
	}
	n.peerNotices.observe(time.Now(), address, reply)
	return reply
}

func (f *forwarding) pickTarget(now time.Time) (routing.TargetID, string, *kind.Error) {
	call := f.request.call
	input := routing.PickInput{
		Exclude: f.tried, MayProbe: !call.Unsafe, Importance: int(call.Importance), SubsetSize: subsetSize,
		Class: f.request.route.Name, TimeLeft: call.Deadline.Sub(now),
	}
	if refusals := len(f.refusedBy); refusals >= max(f.request.route.MaxAttempts, 1) {
		// All attempts that the route allows have been used, so only targets
		// that refused the request may be tried again.
		input = routing.PickInput{Pinned: f.refusedBy[refusals%max(f.request.route.MaxAttempts, 1)]}
	} else if call.KnownCrashes > 0 {
		if id, address, failure := f.pickDesignated(now, input); failure == nil {
			return id, address, nil
		}
	}
	return f.node.directory.Pick(now, call.Service, input)
}

// pickDesignated picks the target that all nodes choose for a suspect, whoever its caller
// is: then its callers do not end several targets at once. This node chooses another one
// than its own, if there is one: it may end together with its target, and then nobody
// would know under which request. A suspect on trial is tried at a single target all the
// same.
func (f *forwarding) pickDesignated(now time.Time, input routing.PickInput) (routing.TargetID, string, *kind.Error) {
	input.Designated = uint64(f.request.call.Fingerprint.Content())
	if f.node.crashes.RequiresTrial(f.request.call.KnownCrashes) {
		return f.node.directory.Pick(now, f.request.call.Service, input)
	}
	other := input
	other.Exclude = append(slices.Clone(f.tried), f.node.selfID())
	if id, address, failure := f.node.directory.Pick(now, f.request.call.Service, other); failure == nil {
		return id, address, nil
	}
	return f.node.directory.Pick(now, f.request.call.Service, input)
}

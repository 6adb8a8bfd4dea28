package mesh

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/gate"
	"github.com/goldcrestsail/goldcrestsail/httpconn"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/limit"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// servePeer runs a call of another node.
func (n *Node) servePeer(ctx context.Context, call *message.Call) *message.Reply {
	n.work.Add(1)
	defer n.work.Add(-1)
	return n.execute(ctx, call)
}

// execute runs a call on the target beside this node.
func (n *Node) execute(ctx context.Context, call *message.Call) *message.Reply {
	reply := n.executeAdmitted(ctx, call)
	reply.Load = n.gate.Load()
	if reply.Failure != nil {
		n.logRefusal(call, reply)
	}
	return reply
}

func (n *Node) executeAdmitted(ctx context.Context, call *message.Call) *message.Reply {
	if service := *n.service.Load(); call.Service != service {
		return &message.Reply{Failure: kind.Newf(kind.Starting, "the target belongs to service %s", service)}
	}
	if n.closing.Load() {
		return &message.Reply{Failure: kind.New(kind.Draining, "the node beside the target is about to end")}
	}
	if _, failure := n.target.admit(time.Now()); failure != nil {
		return &message.Reply{Failure: failure}
	}
	rank := admission.MakeRank(int(call.Importance), call.Admitted, call.ChainLevel)
	offered := time.Now()
	id, failure := n.gate.Acquire(ctx, gate.Request{Rank: rank, Deadline: call.Deadline, MaxWait: call.MaxWait, Repeat: call.Repeat})
	if failure != nil {
		return &message.Reply{Failure: failure}
	}
	n.metrics.queued.Update(time.Since(offered).Seconds())
	// The target may have said that it leaves while the request waited.
	targetID, failure := n.target.admit(time.Now())
	if failure != nil {
		n.gate.Release(id, nil)
		return &message.Reply{Failure: failure}
	}
	x := n.running.begin(time.Now(), call)
	sent := *call
	sent.Deadline = x.deadline
	response, failure := n.do(ctx, &sent, targetID)
	own, total := n.running.end(time.Now(), x)
	n.metrics.atTarget.Update(total.Seconds())
	n.gate.Release(id, sampleOf(response, failure, own, total))
	visited, dependencyFailed := n.running.outcome(x)
	reply := &message.Reply{Failure: failure, Cutoffs: n.cutoffsBelow(visited, time.Now()), DependencyFailed: dependencyFailed}
	reply.Visited = append(visited, message.Visit{Service: call.Service, Runs: 1})
	if failure == nil {
		reply.Response, reply.OwnTime = &response.Response, own
	}
	return reply
}

// do sends a request to the target. An idempotent one is dropped when its caller
// leaves; another one goes on, since its effect may have begun.
func (n *Node) do(ctx context.Context, call *message.Call, targetID string) (*httpconn.TargetResponse, *kind.Error) {
	base := ctx
	if call.Unsafe {
		base = context.WithoutCancel(ctx)
	}
	bounded, cancel := context.WithDeadline(base, call.Deadline)
	defer cancel()
	response, failure := n.client.Do(bounded, call, targetID)
	if failure != nil {
		return nil, failure
	}
	if response.Load != nil {
		n.gate.ObserveReport(time.Now(), limit.Report{Healthy: true, Capacity: response.Load.Slots})
	}
	switch {
	case response.OtherTarget:
		return nil, kind.Newf(kind.Starting, "another target than %s has its address", targetID)
	case response.NotRun:
		return nil, kind.Newf(kind.TargetRefused, "the target refused the request with status %d", response.Status)
	}
	return response, nil
}

// sampleOf returns what the limiter learns from a request, or nil when it says
// nothing about the target.
func sampleOf(response *httpconn.TargetResponse, failure *kind.Error, own, total time.Duration) *limit.Sample {
	sample := &limit.Sample{Latency: own, Total: total}
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

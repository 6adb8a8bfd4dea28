package node

import (
	"context"
	"crypto/rand"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/claims"
	"github.com/goldcrestsail/goldcrestsail/gate"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/limit"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

// completionGrace is how long a non-idempotent request that was passed to the
// target may keep running after its caller's deadline, so that its response can
// be stored and replayed to a repeat.
const completionGrace = 30 * time.Second

// execution is the state of one request at the node of its target.
type execution struct {
	call     *peerrpc.CallRequest
	policy   *policy.Policy
	rank     admission.Rank
	deadline time.Time
	// token is set for non-idempotent requests.
	token *claims.Token
	// unusedAllowance is the part of the retry allowance that is returned to the caller.
	unusedAllowance int
	visited         []string
}

// execute runs a request on the local target and returns the complete response,
// with the load of the target and the unused retry allowance.
func (n *Node) execute(ctx context.Context, call *peerrpc.CallRequest) *peerrpc.CallResponse {
	defer n.inFlight.begin()()
	x := &execution{call: call, unusedAllowance: int(call.Allowance), visited: []string{call.Service + "." + call.Customer}}
	response, failure := n.run(ctx, x)
	if failure != nil {
		response = errorResponse(call.RequestId, failure)
		n.metrics.recordTargetFailure(failure.Kind)
	}
	response.RequestId = call.RequestId
	response.Allowance = uint32(x.unusedAllowance)
	response.Visited = x.visited
	response.Load = n.load()
	response.Levels = n.downstreamLevels(x.visited)
	return response
}

func (n *Node) run(ctx context.Context, x *execution) (*peerrpc.CallResponse, *kind.Error) {
	if failure := n.check(x); failure != nil {
		return nil, failure
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if x.call.NonIdempotent {
		return n.runOnce(ctx, x)
	}
	id, failure := n.gate.Acquire(ctx, gate.Request{Rank: x.rank, Deadline: x.deadline})
	if failure != nil {
		return nil, failure
	}
	return n.runAdmitted(ctx, x, id)
}

// check validates a request and sets its policy, deadline and rank. The error
// refuses a request that cannot be run here.
func (n *Node) check(x *execution) *kind.Error {
	call := x.call
	announcement, state := n.target.current()
	name := policy.ServiceName{Customer: call.Customer, Service: call.Service}
	if call.TargetId != n.id.String() || announcement.service() != name {
		return kind.Newf(kind.NoTarget, "the target of %s is not beside this node", name)
	}
	if n.draining.Load() || state == Draining {
		return kind.New(kind.Draining, "the target is leaving")
	}
	if state != Ready {
		return kind.Newf(kind.Starting, "the target is %s", state)
	}
	if x.policy = n.policyOf(name); x.policy == nil {
		return kind.Newf(kind.UnknownService, "no policy for %s", name)
	}
	n.ensurePolicy(x.policy)
	if call.TimeoutMicros <= 0 {
		return kind.New(kind.DeadlineExpired, "the deadline has passed").WithRun(kind.NotRun)
	}
	if n.quarantine.state(call.Fingerprint) == quarantine.Quarantined {
		return kind.New(kind.Quarantined, "the request has crashed targets")
	}
	x.deadline = time.Now().Add(time.Duration(call.TimeoutMicros) * time.Microsecond)
	x.rank = admission.MakeRank(int(call.Importance), call.Depth > 0, admission.ChainLevel(call.ChainId))
	return nil
}

// runOnce runs a non-idempotent request at most once per key. Once the request
// was passed to the target, it continues if the caller disconnects.
func (n *Node) runOnce(ctx context.Context, x *execution) (*peerrpc.CallResponse, *kind.Error) {
	guard, failure := n.claimGuards.get(policy.ServiceName{Customer: x.call.Customer, Service: x.call.Service})
	if failure != nil {
		return nil, failure
	}
	verdict, err := guard.Begin(ctx, x.call.Key, x.call.Fingerprint)
	if err != nil {
		return nil, kind.Of(err)
	}
	if verdict.Replayed {
		return replayed(verdict.Response)
	}
	x.token = verdict.Token
	id, failure := n.gate.Acquire(ctx, gate.Request{Rank: x.rank, Deadline: x.deadline})
	if failure != nil {
		x.token.Release()
		return nil, failure
	}
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(x.deadline)+completionGrace)
	type result struct {
		response *peerrpc.CallResponse
		failure  *kind.Error
	}
	done := make(chan result, 1)
	endWork := n.inFlight.begin()
	// The copy avoids a data race: the detached run must not change fields
	// that the response to the caller is built from.
	detachedExecution := *x
	go func() {
		defer endWork()
		defer cancel()
		response, failure := n.runAdmitted(detached, &detachedExecution, id)
		done <- result{response, failure}
	}()
	select {
	case r := <-done:
		x.unusedAllowance, x.visited = detachedExecution.unusedAllowance, detachedExecution.visited
		return r.response, r.failure
	case <-ctx.Done():
		x.unusedAllowance = 0
		return nil, kind.New(kind.DeadlineExpired, "the target is still running the request; repeat with the same key for its response")
	}
}

func replayed(stored []byte) (*peerrpc.CallResponse, *kind.Error) {
	response := &peerrpc.CallResponse{}
	if err := proto.Unmarshal(stored, response); err != nil {
		return nil, kind.New(kind.AlreadyRan, "the stored response cannot be read")
	}
	response.Replayed = true
	return response, nil
}

// runAdmitted passes an admitted request to the target and releases its slot.
func (n *Node) runAdmitted(ctx context.Context, x *execution, id admission.ID) (*peerrpc.CallResponse, *kind.Error) {
	var token chain.Token
	rand.Read(token[:])
	call := x.call
	chainState := chain.Chain{
		ID: call.ChainId, Class: call.Class, Importance: int(call.Importance), Deadline: x.deadline,
		Depth: int(call.Depth), Path: call.PathServices, Allowance: int(call.Allowance),
	}
	if failure := n.chains.enter(time.Now(), token, chainState, x.policy.MaxDepth); failure != nil {
		n.gate.Release(id, nil)
		x.releaseClaim()
		return nil, failure
	}
	response, failure := n.send(ctx, x, token)
	summary := n.chains.leave(time.Now(), token)
	x.unusedAllowance, x.visited = summary.Unused, summary.Visited
	n.gate.Release(id, limiterSample(summary, failure))
	x.resolveClaim(response, failure)
	if failure != nil {
		return nil, failure
	}
	return response.CallResponse, nil
}

// send passes a request to the target and handles a crash of the target.
func (n *Node) send(ctx context.Context, x *execution, token chain.Token) (*targetResponse, *kind.Error) {
	end, failure := n.quarantine.begin(ctx, x.call.Fingerprint, x.call.SuspectCrashes)
	if failure != nil {
		return nil, failure
	}
	if x.token != nil {
		// This follows the wait for a trial, so that the request is sent
		// immediately after it is marked as written.
		if err := x.token.MarkWritten(); err != nil {
			end(false)
			return nil, kind.Of(err)
		}
	}
	run := n.target.begin(x.call.Fingerprint)
	response, failure := n.target.clientFor(x.policy).send(ctx, &targetRequest{
		call: x.call, token: token.String(), deadline: x.deadline, maxResponseBytes: x.policy.MaxAnswerBytes,
	})
	if failure != nil {
		switch failure.Kind {
		case kind.TargetCrashed, kind.AnswerTruncated, kind.DialFailed:
			if n.checkTargetAlive() && failure.Kind == kind.TargetCrashed {
				// Only the connection broke. Reporting a crash would remove the
				// target from routing until it announces itself again.
				failure = kind.Newf(kind.AnswerTruncated, "the connection ended before the answer: %s", failure.Detail)
			}
		}
	}
	n.target.end(run)
	end(failure == nil)
	return response, failure
}

// resolveClaim finishes, releases or marks as lost the claim of a non-idempotent
// request.
func (x *execution) resolveClaim(response *targetResponse, failure *kind.Error) {
	if x.token == nil {
		return
	}
	if failure != nil {
		if failure.Run == kind.NotRun {
			x.token.Release()
			return
		}
		x.token.Lost()
		return
	}
	if response.noEffect {
		x.token.Release()
		return
	}
	stored, err := proto.Marshal(response.CallResponse)
	if err != nil {
		x.token.Lost()
		return
	}
	x.token.Finish(stored)
}

func (x *execution) releaseClaim() {
	if x.token != nil {
		x.token.Release()
	}
}

// limiterSample returns the sample of a request for the concurrency limiter, or
// nil if its failure says nothing about the load of the target.
func limiterSample(summary chain.Summary, failure *kind.Error) *limit.Sample {
	sample := &limit.Sample{Latency: summary.OwnTime, Total: summary.Total}
	if failure == nil {
		return sample
	}
	switch failure.Kind {
	case kind.DeadlineExpired:
		sample.TimedOut = true
	case kind.Shed:
		sample.Refused = true
	default:
		return nil
	}
	return sample
}

// load returns the load of the local target as measured by this node.
func (n *Node) load() *peerrpc.Load {
	_, state := n.target.current()
	load := n.gate.Load()
	return &peerrpc.Load{
		InFlight: load.Running, Waiting: load.Waiting, Limit: load.Limit, AdmissionLevel: load.Level,
		ServiceTimeMicros: load.ServiceTime.Microseconds(), ByImportance: load.ByImportance,
		Draining: n.draining.Load() || state == Draining,
	}
}

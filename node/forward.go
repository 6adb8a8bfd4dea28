package node

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// The deadline sent to the target's node is earlier than the caller's by a
// margin, so that the response of that node arrives in time: a twentieth of the
// remaining time, at most 5 ms.
const (
	marginDivisor = 20
	maxMargin     = 5 * time.Millisecond
)

// maxCrashes is the number of targets that a request may crash before it is no
// longer retried. The quarantine entry of the last crash may not have arrived
// yet.
const maxCrashes = 2

// forward sends a request to a target of its service and retries on other
// targets within the retry allowance and the retry budget.
func (n *Node) forward(ctx context.Context, q *request, a attemptAllowance) (*peerrpc.CallResponse, *kind.Error) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	allowance, failure := a.first()
	if failure != nil {
		return nil, failure
	}
	n.retryBudgets.recordAttempt(q)
	f := forwardState{node: n, request: q}
	for {
		response, failure := f.attempt(ctx, allowance)
		outcome := chainOutcome(response)
		if failure == nil {
			a.end(outcome)
			return response, nil
		}
		f.mayHaveRun = f.mayHaveRun || failure.Run == kind.MayHaveRun
		if !f.mayRetry(ctx, failure) || !n.retryBudgets.allowRetry(q) {
			a.end(outcome)
			return nil, f.finalFailure(ctx, failure)
		}
		next, exhausted := a.retry(outcome)
		if exhausted != nil {
			return nil, f.finalFailure(ctx, failure)
		}
		allowance = next
		n.metrics.retries.Inc()
	}
}

// forwardState is the state of one request across its attempts.
type forwardState struct {
	node         *Node
	request      *request
	triedTargets []routing.TargetID
	// mayHaveRun reports that an attempt may have run.
	mayHaveRun bool
	// crashes counts the targets that crashed while running the request, the
	// last one at crashedAt.
	crashes   uint32
	crashedAt time.Time
}

// attempt picks a target and sends the request to it once.
func (f *forwardState) attempt(ctx context.Context, allowance int) (*peerrpc.CallResponse, *kind.Error) {
	n, q := f.node, f.request
	if ctx.Err() != nil {
		return nil, kind.New(kind.DeadlineExpired, "the deadline has passed before the request was sent").WithRun(kind.NotRun)
	}
	start := time.Now()
	id, address, failure := f.pick(start)
	if failure != nil {
		return nil, failure
	}
	f.triedTargets = append(f.triedTargets, id)
	call := f.callRequest(id, allowance, start)
	response, failure := n.invoke(ctx, id, address, call)
	now := time.Now()
	n.router.Done(now, q.name.String(), id, routingResult(q.importance, now.Sub(start), response, failure))
	if response != nil {
		n.observeLevels(q.name.String(), id, response, now)
	}
	if failure != nil && failure.Kind == kind.TargetCrashed {
		f.crashes++
		f.crashedAt = now
	}
	return response, failure
}

func (f *forwardState) pick(now time.Time) (routing.TargetID, string, *kind.Error) {
	n, q := f.node, f.request
	input := routing.PickInput{Exclude: f.triedTargets, MayProbe: q.class.Retryable, Pinned: q.pinned, Importance: q.importance}
	switch n.quarantine.state(q.fingerprint) {
	case quarantine.Quarantined:
		return "", "", kind.New(kind.Quarantined, "the request has crashed targets")
	case quarantine.Suspect:
		input.Designated = q.fingerprint
	default:
		if f.crashes > 0 {
			input.Designated = q.fingerprint
		}
	}
	id, address, failure := n.router.Pick(now, q.name.String(), input)
	if failure != nil && failure.Kind == kind.NoTarget && len(f.triedTargets) > 0 {
		// All targets were tried; one that was lost earlier may be reachable on a
		// new connection.
		input.Exclude = nil
		return n.router.Pick(now, q.name.String(), input)
	}
	return id, address, failure
}

func (f *forwardState) callRequest(id routing.TargetID, allowance int, now time.Time) *peerrpc.CallRequest {
	q := f.request
	left := q.deadline.Sub(now)
	return &peerrpc.CallRequest{
		RequestId: uuid.NewString(), Customer: q.name.Customer, Service: q.name.Service, TargetId: string(id),
		Method: q.method, Path: q.path, Headers: q.headers, Body: q.body,
		TimeoutMicros: (left - min(left/marginDivisor, maxMargin)).Microseconds(),
		ChainId:       q.chainID, Depth: uint32(q.depth), Importance: uint32(q.importance), Class: q.class.Name,
		Allowance: uint32(allowance), NonIdempotent: q.class.NonIdempotent, Key: q.key,
		SuspectCrashes: f.crashes, Fingerprint: q.fingerprint, PathServices: q.services,
	}
}

// mayRetry reports whether the request may be retried after a failure.
func (f *forwardState) mayRetry(ctx context.Context, failure *kind.Error) bool {
	if !kind.ResponseFor(failure.Kind).Retryable || ctx.Err() != nil || f.crashes >= maxCrashes {
		return false
	}
	if failure.Run == kind.NotRun {
		return true
	}
	if f.request.class.NonIdempotent {
		// The key makes a retry safe after the connection to the target's node
		// was lost; after a crash of the target the outcome stays unknown.
		return failure.Kind == kind.PeerLost
	}
	return f.request.class.Retryable
}

// finalFailure returns the failure of the last attempt, with the run state of
// all attempts combined. After a crash it delays the failure until the other
// nodes have received the quarantine entry.
func (f *forwardState) finalFailure(ctx context.Context, failure *kind.Error) *kind.Error {
	if f.crashes > 0 {
		ctxwait.For(ctx, time.Until(f.crashedAt.Add(crashReportDelay)))
	}
	if f.mayHaveRun && failure.Run == kind.NotRun {
		return failure.WithRun(kind.MayHaveRun)
	}
	return failure
}

// invoke runs a call on the local target or on that of a peer.
func (n *Node) invoke(ctx context.Context, id routing.TargetID, address string, call *peerrpc.CallRequest) (*peerrpc.CallResponse, *kind.Error) {
	var response *peerrpc.CallResponse
	if string(id) == n.id.String() {
		response = n.execute(ctx, call)
	} else {
		failure := n.peers.call(ctx, address, func(ctx context.Context, p peerrpc.Peer) (err error) {
			response, err = p.Call(ctx, call)
			return err
		})
		if failure != nil {
			return nil, failure
		}
	}
	if response.RequestId != call.RequestId {
		n.metrics.mismatched.Inc()
		return nil, kind.New(kind.AnswerMismatched, "the response belongs to another request")
	}
	if response.Kind != "" {
		return response, errorOf(response)
	}
	return response, nil
}

func chainOutcome(response *peerrpc.CallResponse) chain.Outcome {
	if response == nil {
		return chain.Outcome{}
	}
	return chain.Outcome{Answered: true, Unused: int(response.Allowance), Visited: response.Visited}
}

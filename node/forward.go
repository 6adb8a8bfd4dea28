package node

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// The margin between a caller's deadline and the one that the target's node is
// told lets the response of that node arrive in time: a twentieth of the time
// left, at most 5 ms.
const (
	marginShare = 20
	maxMargin   = 5 * time.Millisecond
)

// maxCrashes is how many targets a request may crash before it is not sent
// again. The quarantine entry of the last crash may still be on its way.
const maxCrashes = 2

// forward sends a request to a target of its service and retries on another one
// within the allowance and the retry budget.
func (n *Node) forward(ctx context.Context, q *request, a attempts) (*peerrpc.CallResponse, *kind.Error) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	allowance, failure := a.first()
	if failure != nil {
		return nil, failure
	}
	n.budgets.attempt(q)
	f := forwarding{node: n, request: q}
	for {
		response, failure := f.attempt(ctx, allowance)
		out := outcomeOf(response)
		if failure == nil {
			a.end(out)
			return response, nil
		}
		f.uncertain = f.uncertain || failure.Run == kind.MayHaveRun
		if !f.mayRetry(ctx, failure) || !n.budgets.retry(q) {
			a.end(out)
			return nil, f.final(ctx, failure)
		}
		next, exhausted := a.retry(out)
		if exhausted != nil {
			return nil, f.final(ctx, failure)
		}
		allowance = next
		n.metrics.retries.Inc()
	}
}

// forwarding is the state of one request over its attempts.
type forwarding struct {
	node    *Node
	request *request
	tried   []routing.TargetID
	// uncertain reports that an attempt may have run.
	uncertain bool
	// crashes counts the targets that crashed under the request, the last one at
	// crashedAt.
	crashes   uint32
	crashedAt time.Time
}

// attempt sends the request once.
func (f *forwarding) attempt(ctx context.Context, allowance int) (*peerrpc.CallResponse, *kind.Error) {
	n, q := f.node, f.request
	if ctx.Err() != nil {
		return nil, kind.New(kind.DeadlineExpired, "the deadline has passed before the request was sent").WithRun(kind.NotRun)
	}
	start := time.Now()
	id, address, failure := f.pick(start)
	if failure != nil {
		return nil, failure
	}
	f.tried = append(f.tried, id)
	call := f.callRequest(id, allowance, start)
	response, failure := n.invoke(ctx, id, address, call)
	now := time.Now()
	n.router.Done(now, q.name.String(), id, resultOf(q.importance, now.Sub(start), response, failure))
	if response != nil {
		n.observeLevels(q.name.String(), id, response, now)
	}
	if failure != nil && failure.Kind == kind.TargetCrashed {
		f.crashes++
		f.crashedAt = now
	}
	return response, failure
}

func (f *forwarding) pick(now time.Time) (routing.TargetID, string, *kind.Error) {
	n, q := f.node, f.request
	in := routing.PickInput{Exclude: f.tried, MayProbe: q.class.Retryable, Pinned: q.pinned, Importance: q.importance}
	switch n.quarantine.state(q.fingerprint) {
	case quarantine.Quarantined:
		return "", "", kind.New(kind.Quarantined, "the request has crashed targets")
	case quarantine.Suspect:
		in.Designated = q.fingerprint
	default:
		if f.crashes > 0 {
			in.Designated = q.fingerprint
		}
	}
	id, address, failure := n.router.Pick(now, q.name.String(), in)
	if failure != nil && failure.Kind == kind.NoTarget && len(f.tried) > 0 {
		// Every target was tried: the one that was lost first may be reachable
		// on a new connection.
		in.Exclude = nil
		return n.router.Pick(now, q.name.String(), in)
	}
	return id, address, failure
}

func (f *forwarding) callRequest(id routing.TargetID, allowance int, now time.Time) *peerrpc.CallRequest {
	q := f.request
	left := q.deadline.Sub(now)
	return &peerrpc.CallRequest{
		RequestId: uuid.NewString(), Customer: q.name.Customer, Service: q.name.Service, TargetId: string(id),
		Method: q.method, Path: q.path, Headers: q.headers, Body: q.body,
		TimeoutMicros: (left - min(left/marginShare, maxMargin)).Microseconds(),
		ChainId:       q.chainID, Depth: uint32(q.depth), Importance: uint32(q.importance), Class: q.class.Name,
		Allowance: uint32(allowance), NonIdempotent: q.class.NonIdempotent, Key: q.key,
		SuspectCrashes: f.crashes, Fingerprint: q.fingerprint, PathServices: q.services,
	}
}

// mayRetry reports whether a failure allows a further attempt.
func (f *forwarding) mayRetry(ctx context.Context, failure *kind.Error) bool {
	if !kind.ResponseFor(failure.Kind).Retryable || ctx.Err() != nil || f.crashes >= maxCrashes {
		return false
	}
	if failure.Run == kind.NotRun {
		return true
	}
	if f.request.class.NonIdempotent {
		// The key makes a repeat safe after the connection to the target's node
		// was lost; after a crash of the target its outcome stays unknown.
		return failure.Kind == kind.PeerLost
	}
	return f.request.class.Retryable
}

// final returns the failure of the last attempt, with the run state of all. It
// holds back a failure after a crash until the suspicion is known everywhere.
func (f *forwarding) final(ctx context.Context, failure *kind.Error) *kind.Error {
	if f.crashes > 0 {
		waitFor(ctx, nil, time.Until(f.crashedAt.Add(crashReportDelay)))
	}
	if f.uncertain && failure.Run == kind.NotRun {
		return failure.WithRun(kind.MayHaveRun)
	}
	return failure
}

// invoke runs a call on the target beside this node, or on that of a peer.
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

func outcomeOf(response *peerrpc.CallResponse) chain.Outcome {
	if response == nil {
		return chain.Outcome{}
	}
	return chain.Outcome{Answered: true, Unused: int(response.Allowance), Visited: response.Visited}
}

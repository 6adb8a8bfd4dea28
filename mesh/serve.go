package mesh

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/chainadmission"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/pressure"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

const (
	// maxRootWaitShare is the share of a route's latency objective that a
	// client's request may wait for a slot; the rest is left for the work
	// itself.
	maxRootWaitShare = 0.5
	minRootWait      = 20 * time.Millisecond
	// maxSubCallWait bounds the wait of a sub-call. It is long because refusing
	// a sub-call wastes the work that its chain has already caused; the
	// deadline is the effective bound.
	maxSubCallWait = 2 * time.Second
)

// request is a caller's request and the decisions made about it.
type request struct {
	call  *message.Call
	route *routetable.Route
	// version is the version of the configuration that route belongs to.
	version uint64
	// parent is the request at the local target that made this sub-call; nil if
	// it is not a sub-call.
	parent *run
	// root reports that the request is the root of a chain.
	root bool
	// answerBy is when the caller has to have an answer.
	answerBy time.Time
	// possibleRuns counts the attempts that may have run, attempts all
	// attempts.
	possibleRuns, attempts int
	// notRetriedReason says why there was no attempt after the last one.
	notRetriedReason string
}

// serveRequest answers a request of a client or of the local target.
func (n *Node) serveRequest(ctx context.Context, r *message.Request) *message.Response {
	n.inProgress.Add(1)
	defer n.inProgress.Add(-1)
	q, failure := n.classify(r)
	var reply *message.Reply
	if failure == nil {
		requestCtx, cancel := context.WithDeadline(ctx, q.answerBy)
		stop := context.AfterFunc(n.graceOver, cancel)
		reply = n.handle(requestCtx, q)
		stop()
		cancel()
		failure = n.failureAtEnd(reply.Failure)
	}
	now := time.Now()
	if q.parent != nil {
		n.inFlight.endSubCall(now, q.parent, visitsOf(reply), failure != nil || reply.Response.Status >= http.StatusInternalServerError)
	}
	if q.route != nil {
		n.splits.record(q.route, q.call.Service, q.version, passedOn(failure))
	}
	n.logRequest(q, r, reply, failure, now)
	if failure != nil {
		response := failureResponse(failure, r.Deadline.Sub(now), n.randomFraction())
		n.metrics.recordRequest(q, response.Status, failure, now.Sub(r.Arrived))
		return response
	}
	n.metrics.recordRequest(q, reply.Response.Status, nil, now.Sub(r.Arrived))
	if reply.Response.Status < http.StatusInternalServerError {
		n.recordVisits(q.chainStart(), reply.Visited)
	}
	return reply.Response
}

// passedOn reports whether a request that ended with a failure, or with none, has
// reached a target or may have.
func passedOn(failure *kind.Error) bool {
	return failure == nil || failure.Run != kind.NotRun || reachedTarget(failure)
}

func visitsOf(reply *message.Reply) []message.Visit {
	if reply == nil {
		return nil
	}
	return reply.Visited
}

// classify finds the route of a request and, for a sub-call, its parent.
func (n *Node) classify(r *message.Request) (*request, *kind.Error) {
	q := &request{call: &message.Call{Request: *r, CallerService: n.target.service()}}
	// Also requests that are refused below are logged with a fingerprint.
	q.call.Fingerprint = fingerprintOf(q.call)
	table := n.configuration.current()
	if table == nil {
		return q, kind.New(kind.Starting, "no configuration is known yet")
	}
	if r.ID == "" {
		return q, kind.New(kind.Malformed, "the request has no ID")
	}
	q.route, q.version = table.Match(r.Host, r.URI), table.Config().Version
	if q.route == nil {
		return q, kind.Newf(kind.UnknownService, "no route for host %q", r.Host)
	}
	call := q.call
	call.Unsafe = q.route.Unsafe
	call.Service = n.configuration.nextService(q.route)
	if q.parent = n.inFlight.matchSubCall(r.Arrived, r.ParentID, r.Deadline); q.parent != nil {
		if service := q.parent.call.Service; service != call.CallerService {
			// The address has passed to a target of another service since.
			call.CallerService = service
			call.Fingerprint = fingerprintOf(call)
		}
	}
	if t := q.route.Timeout; t > 0 && r.Arrived.Add(t).Before(call.Deadline) {
		call.Deadline = r.Arrived.Add(t)
	}
	q.answerBy = call.Deadline
	q.root = q.parent == nil
	if failure := n.drainTimes.Load().bound(q, r.Arrived); failure != nil {
		return q, failure
	}
	if !q.root {
		call.Importance, call.ChainLevel, call.Admitted = q.parent.call.Importance, q.parent.call.ChainLevel, true
		call.MaxWait = maxSubCallWait
		return q, nil
	}
	call.Importance = uint8(min(max(q.route.Importance, 0), policy.MaxImportance))
	call.ChainLevel = admission.ChainLevel(r.ID)
	if q.route.Objective > 0 {
		call.MaxWait = max(time.Duration(float64(q.route.Objective)*maxRootWaitShare), minRootWait)
	}
	return q, nil
}

// handle forwards a request unless its chain has to be refused.
func (n *Node) handle(ctx context.Context, q *request) *message.Reply {
	if q.root {
		if failure := n.checkCutoffs(q); failure != nil {
			return &message.Reply{Failure: failure}
		}
	}
	return n.forward(ctx, q)
}

// checkCutoffs refuses the root of a chain that a service on its path would
// refuse.
func (n *Node) checkCutoffs(q *request) *kind.Error {
	now := time.Now()
	position := chainPosition(q.call)
	n.chains.mu.Lock()
	verdict := n.chains.table.Check(q.chainStart(), position, now)
	n.chains.mu.Unlock()
	if verdict.Refuse {
		n.metrics.shedEarly.Inc()
		return kind.Newf(kind.ShedEarly, "service %s admits new chains up to %.2f, this one has %.2f; known for %d ms",
			verdict.Service, verdict.Cutoff, position, verdict.Age.Milliseconds())
	}
	return nil
}

// chainPosition returns the position of the chain that a call belongs to.
func chainPosition(call *message.Call) float64 {
	return pressure.Position(int(call.Importance), float64(call.ChainLevel)/admission.ChainLevels)
}

// chainStart returns where the chain of a request starts.
func (q *request) chainStart() chainadmission.Start {
	return chainadmission.Start{Route: q.route.Name, Service: q.call.Service}
}

func (n *Node) recordVisits(start chainadmission.Start, visited []message.Visit) {
	runs := make(map[string]float64, len(visited))
	for _, v := range visited {
		runs[v.Service] += float64(v.Runs)
	}
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	n.chains.table.Learn(start, runs)
}

// expectedRuns returns how often a request of a start runs at each service on
// average.
func (n *Node) expectedRuns(start chainadmission.Start) map[string]float64 {
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	runs := maps.Clone(n.chains.table.Runs(start))
	if runs == nil {
		runs = map[string]float64{}
	}
	runs[start.Service] = max(runs[start.Service], 1)
	return runs
}

// randomFraction returns a random number from 0 to 1.
func (n *Node) randomFraction() float64 {
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	return n.chains.rng.Float64()
}

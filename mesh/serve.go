package mesh

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/pressure"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

const (
	// rootWaitShare is the part of a route's latency objective that a request of
	// a client may wait for a slot: the rest is for the work itself.
	rootWaitShare = 0.5
	minRootWait   = 20 * time.Millisecond
	// maxSubCallWait bounds the wait of a call of a chain that has begun: refusing
	// it wastes what the chain has cost, so its deadline is what counts.
	maxSubCallWait = 2 * time.Second
)

// request is a caller's request with what was decided about it.
type request struct {
	call  *message.Call
	route *routetable.Route
	// parent is the request at this node's target that a sub-call belongs to.
	parent *run
	// root reports that the request begins a chain.
	root bool
	// attempts counts the targets that may have run the request, sent all
	// attempts.
	attempts, sent int
	// notRepeated says why the last attempt was not followed by another one.
	notRepeated string
}

// serve answers a request of a client or of the target.
func (n *Node) serve(ctx context.Context, r *message.Request) *message.Response {
	n.work.Add(1)
	defer n.work.Add(-1)
	q, failure := n.classify(r)
	var reply *message.Reply
	if failure == nil {
		bounded, cancel := context.WithDeadline(ctx, q.call.Deadline)
		reply = n.handle(bounded, q)
		cancel()
		failure = reply.Failure
	}
	now := time.Now()
	if q.parent != nil {
		n.running.subCallEnded(now, q.parent, visitedOf(reply), failure != nil || reply.Response.Status >= http.StatusInternalServerError)
	}
	n.logRequest(q, r, reply, failure, now)
	if failure != nil {
		response := answer(failure, r.Deadline.Sub(now), n.random())
		n.metrics.answered(q, response.Status, failure, now.Sub(r.Arrived))
		return response
	}
	n.metrics.answered(q, reply.Response.Status, nil, now.Sub(r.Arrived))
	if reply.Response.Status < http.StatusInternalServerError {
		n.learnChain(q.route, reply.Visited)
	}
	return reply.Response
}

func visitedOf(reply *message.Reply) []message.Visit {
	if reply == nil {
		return nil
	}
	return reply.Visited
}

// classify finds the route of a request and the chain that it belongs to.
func (n *Node) classify(r *message.Request) (*request, *kind.Error) {
	q := &request{call: &message.Call{Request: *r, CallerService: *n.service.Load()}}
	table := n.configuration.current()
	if table == nil {
		return q, kind.New(kind.Starting, "no configuration is known yet")
	}
	if r.ID == "" {
		return q, kind.New(kind.Malformed, "the request has no ID")
	}
	q.route = table.Match(r.Host, r.URI)
	if q.route == nil {
		return q, kind.Newf(kind.UnknownService, "no route for host %q", r.Host)
	}
	call := q.call
	call.Unsafe = q.route.Unsafe
	call.Service = n.configuration.next(q.route)
	q.parent = n.running.match(r.Arrived, r.ParentID, r.Deadline)
	if t := q.route.Timeout; t > 0 && r.Arrived.Add(t).Before(call.Deadline) {
		call.Deadline = r.Arrived.Add(t)
	}
	q.root = q.parent == nil
	if !q.root {
		call.Importance, call.ChainLevel, call.Admitted = q.parent.call.Importance, q.parent.call.ChainLevel, true
		call.MaxWait = maxSubCallWait
		return q, nil
	}
	call.Importance = uint8(min(max(q.route.Importance, 0), policy.MaxImportance))
	call.ChainLevel = admission.ChainLevel(r.ID)
	if q.route.Objective > 0 {
		call.MaxWait = max(time.Duration(float64(q.route.Objective)*rootWaitShare), minRootWait)
	}
	return q, nil
}

// handle refuses a request early or forwards it.
func (n *Node) handle(ctx context.Context, q *request) *message.Reply {
	if q.root {
		if failure := n.checkChain(q); failure != nil {
			return &message.Reply{Failure: failure}
		}
	}
	return n.forward(ctx, q)
}

// checkChain refuses a request whose chain a service would refuse.
func (n *Node) checkChain(q *request) *kind.Error {
	now := time.Now()
	position := positionOf(q.call)
	n.chains.mu.Lock()
	verdict := n.chains.table.Check(q.route.Name, q.call.Service, position, now)
	n.chains.mu.Unlock()
	if verdict.Refuse {
		n.metrics.shedEarly.Inc()
		return kind.Newf(kind.ShedEarly, "service %s admits new chains up to %.2f, this one has %.2f; known for %d ms",
			verdict.Service, verdict.Cutoff, position, verdict.Age.Milliseconds())
	}
	return nil
}

// positionOf returns the position of a call's chain.
func positionOf(call *message.Call) float64 {
	return pressure.Position(int(call.Importance), float64(call.ChainLevel)/admission.ChainLevels)
}

func (n *Node) learnChain(route *routetable.Route, visited []message.Visit) {
	runs := make(map[string]float64, len(visited))
	for _, v := range visited {
		runs[v.Service] += float64(v.Runs)
	}
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	n.chains.table.Learn(route.Name, runs)
}

// runsOf returns how often a request of a route runs at each service.
func (n *Node) runsOf(route *routetable.Route, service string) map[string]float64 {
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	runs := maps.Clone(n.chains.table.Runs(route.Name))
	if runs == nil {
		runs = map[string]float64{}
	}
	runs[service] = max(runs[service], 1)
	return runs
}

// random returns a random number from 0 to 1.
func (n *Node) random() float64 {
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	return n.chains.rng.Float64()
}

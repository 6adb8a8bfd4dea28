package mesh

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/routetable"
	"github.com/goldcrestsail/goldcrestsail/shedding"
)

// request is a caller's request with what was decided about it.
type request struct {
	call  *message.Call
	route *routetable.Route
	// parent is the request at this node's target that a sub-call belongs to.
	parent *run
	// root reports that the request begins a chain.
	root bool
	// attempts counts the targets that the request was sent to.
	attempts int
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
		n.running.subCallEnded(now, q.parent, visitedOf(reply), failure != nil)
	}
	n.logRequest(q, r, reply, failure, now)
	if failure != nil {
		return answer(failure, r.Deadline.Sub(now), n.random())
	}
	if q.root && reply.Response.Status < 500 {
		n.learnPath(q, reply.Visited)
	}
	return reply.Response
}

func visitedOf(reply *message.Reply) []string {
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
	if r.FromTarget {
		q.parent = n.running.match(r.Arrived, r.Deadline)
	}
	if t := q.route.Timeout; t > 0 && r.Arrived.Add(t).Before(call.Deadline) {
		call.Deadline = r.Arrived.Add(t)
	}
	q.root = !r.FromTarget
	switch {
	case q.parent != nil:
		call.Importance, call.ChainLevel, call.Admitted = q.parent.call.Importance, q.parent.call.ChainLevel, true
	default:
		call.Importance = uint8(min(max(q.route.Importance, 0), policy.MaxImportance))
		call.ChainLevel = admission.ChainLevel(r.ID)
		call.Admitted = !q.root
	}
	return q, nil
}

// handle refuses a request early or forwards it.
func (n *Node) handle(ctx context.Context, q *request) *message.Reply {
	if q.root {
		if failure := n.shedEarly(q); failure != nil {
			return &message.Reply{Failure: failure}
		}
	}
	return n.forward(ctx, q)
}

// shedEarly refuses a request that a service on its usual path would refuse.
func (n *Node) shedEarly(q *request) *kind.Error {
	n.shed.mu.Lock()
	defer n.shed.mu.Unlock()
	verdict := n.shed.table.Check(shedding.Request{
		Service: q.call.Service, Class: q.route.Name, Importance: int(q.call.Importance), ChainLevel: q.call.ChainLevel,
	}, time.Now(), n.shed.rng)
	if verdict.Refuse {
		return kind.Newf(kind.ShedEarly, "%s is overloaded; its level is %s", verdict.Service, verdict.Level)
	}
	return nil
}

func (n *Node) learnPath(q *request, visited []string) {
	n.shed.mu.Lock()
	defer n.shed.mu.Unlock()
	n.shed.table.Learn(q.call.Service, q.route.Name, visited)
}

// random returns a random number from 0 to 1.
func (n *Node) random() float64 {
	n.shed.mu.Lock()
	defer n.shed.mu.Unlock()
	return n.shed.rng.Float64()
}

// logRequest writes the line of a request's end.
func (n *Node) logRequest(q *request, r *message.Request, reply *message.Reply, failure *kind.Error, now time.Time) {
	if failure == nil && !n.log.IsDebug() {
		return
	}
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	fields := []any{"request_id", r.ID, "route", route, "service", q.call.Service, "root", q.root, "importance", q.call.Importance,
		"attempts", q.attempts, "config_version", n.configuration.version(), "took_ms", now.Sub(r.Arrived).Milliseconds(), "left_ms", r.Deadline.Sub(now).Milliseconds()}
	if failure != nil {
		n.log.Info("request failed", append(fields, "kind", failure.Kind, "run_state", failure.Run, "detail", failure.Detail)...)
		return
	}
	n.log.Debug("request answered", append(fields, "status", reply.Response.Status)...)
}

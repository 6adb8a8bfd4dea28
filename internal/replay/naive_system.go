package replay

import (
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/naive"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

const (
	// healthInterval is how long a load balancer takes to act on a health
	// endpoint.
	healthInterval = time.Second
	// pooledConnections is the number of open connections of one caller to one
	// target that a silence affects.
	pooledConnections = 4
)

// naiveSystem is the naive version on the fakes.
type naiveSystem struct {
	w      *world
	queues []naive.Queue[*job]
	usable []bool
	// turns holds the round robin state of each caller (the client at index
	// -1) and service.
	turns map[naiveEdge]*naive.RoundRobin
	// silent counts the silent pooled connections from a caller to a target.
	silent map[[2]int]int
}

// naiveEdge is a caller and the service that it calls.
type naiveEdge struct {
	caller  int
	service string
}

func newNaive(w *world) system {
	n := &naiveSystem{w: w, turns: map[naiveEdge]*naive.RoundRobin{}, silent: map[[2]int]int{}}
	for _, t := range w.targets {
		n.queues = append(n.queues, naive.Queue[*job]{Slots: t.service.Slots, Connections: t.service.Connections})
		n.usable = append(n.usable, t.state == routing.Ready)
	}
	return n
}

// issueKey does nothing: the naive version knows no keys.
func (n *naiveSystem) issueKey(_ *request, done func()) { done() }

func (n *naiveSystem) submit(a *attempt, entry *target, done func(reply)) func() {
	n.hop(a, entry, a.request.op, 0, done)
	return nil // nothing is cancelled
}

func (n *naiveSystem) subCall(parent *job, op *Operation, done func(reply)) func() {
	n.hop(parent.attempt, parent.context.(*target), op, 0, done)
	return nil
}

// hop sends one call, and again after a failure.
func (n *naiveSystem) hop(a *attempt, caller *target, op *Operation, retries int, done func(reply)) {
	over := false
	end := func(p reply) {
		if over {
			return
		}
		over = true
		if naive.Retry(retries, p.status) {
			a.retries++
			n.hop(a, caller, op, retries+1, done)
			return
		}
		if p.status == 0 {
			p.status = http.StatusGatewayTimeout
		}
		done(p)
	}
	edge := naiveEdge{caller.index, op.Service}
	if n.turns[edge] == nil {
		n.turns[edge] = &naive.RoundRobin{}
	}
	targets := n.w.byService[op.Service]
	i := n.turns[edge].Next(len(targets), func(i int) bool { return n.usable[targets[i].index] })
	if i < 0 {
		n.w.after(0, func() { end(reply{status: http.StatusServiceUnavailable}) })
		return
	}
	t := targets[i]
	n.w.after(naive.HopTimeout, func() { end(reply{}) })
	pair := [2]int{caller.index, t.index}
	if n.silent[pair] > 0 {
		n.silent[pair]-- // closed after the timeout; the next call opens a new one
		return
	}
	delay := n.w.latency(caller, t)
	n.w.after(delay, func() {
		back := func(p reply) { n.w.after(delay, func() { end(p) }) }
		n.arrive(t, &job{
			op: op, attempt: a, context: t, done: back,
			lost: func() { back(reply{status: http.StatusBadGateway}) },
		})
	})
}

func (n *naiveSystem) arrive(t *target, j *job) {
	q := &n.queues[t.index]
	answer := j.done
	j.done = func(p reply) {
		if next, ok := q.Release(); ok {
			t.serve(next)
		}
		answer(p)
	}
	if !t.alive() {
		answer(reply{status: http.StatusBadGateway})
		return
	}
	switch begin, refused := q.Offer(j); {
	case refused:
		answer(reply{status: http.StatusServiceUnavailable})
	case begin:
		t.serve(j)
	}
}

func (n *naiveSystem) stateChanged(t *target) {
	if t.state == routing.Draining {
		return // the health endpoint still reports success
	}
	n.w.after(healthInterval, func() { n.usable[t.index] = t.state == routing.Ready })
}

// died empties the queue of a target and tells the callers that waited.
func (n *naiveSystem) died(t *target) {
	n.stateChanged(t)
	for _, j := range n.queues[t.index].Clear() {
		j.lost()
	}
}

func (n *naiveSystem) silence(domain string, share float64) {
	for _, a := range n.w.targets {
		for _, b := range n.w.targets {
			if (a.domain == domain) != (b.domain == domain) {
				n.silent[[2]int{a.index, b.index}] = int(share * pooledConnections)
			}
		}
	}
}

package replay

import (
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// peerRequest is what one node sends to another.
type peerRequest struct {
	from        *node
	op          *Operation
	attempt     *attempt
	chainID     string
	importance  int
	class       string
	depth       int
	path        []string
	deadline    time.Time
	allowance   int
	fingerprint uint64
}

// rank orders the request in the queue of a target.
func (r *peerRequest) rank() admission.Rank {
	return admission.MakeRank(r.importance, r.depth > 0, admission.ChainLevel(r.chainID))
}

// peerReply is the response of a node to another.
type peerReply struct {
	reply
	unused  int
	load    *routing.Load
	levels  []serviceLevel
	visited []string
}

// serviceLevel is the admission level of a target below a call.
type serviceLevel struct {
	service, target string
	level           admission.Rank
	at              time.Time
}

// peerCall is one call in flight between two nodes.
type peerCall struct {
	from, to *node
	link     *link
	request  peerRequest
	begun    time.Time
	over     bool
	timer    *timer
	// cancelServed ends the call at the other node; nil until it arrived.
	cancelServed func()
	// done gets the response, or nil and the reason why none arrived.
	done func(*peerReply, kind.Kind)
}

// call sends a request to the node beside the chosen target.
func (n *node) call(to *node, r peerRequest, done func(*peerReply, kind.Kind)) *peerCall {
	w := n.w
	r.from = n
	c := &peerCall{from: n, to: to, link: n.layer.link(n, to), request: r, begun: w.now, done: done}
	n.routes[r.op.Service].StartWithImportance(w.now, routing.TargetID(to.target.id), r.importance)
	c.link.pending = append(c.link.pending, c)
	c.timer = w.after(max(0, r.deadline.Sub(w.now)), func() {
		c.withdraw()
		c.end(nil, kind.DeadlineExpired)
	})
	if c.link.silent {
		return c
	}
	generation, delay := c.link.generation, w.latency(n.target, to.target)
	w.after(delay, func() {
		if c.link.silent || c.link.generation != generation {
			return
		}
		arrived := r
		c.cancelServed = to.receive(arrived, func(p peerReply) {
			if c.link.silent || c.link.generation != generation {
				return
			}
			w.after(delay, func() {
				if !c.link.silent && c.link.generation == generation {
					c.end(&p, "")
				}
			})
		})
	})
	return c
}

// fail ends the call because its connection was closed.
func (c *peerCall) fail() { c.end(nil, kind.PeerLost) }

// withdraw tells the other node that nobody waits any more.
func (c *peerCall) withdraw() {
	c.from.w.after(c.from.w.latency(c.from.target, c.to.target), func() {
		if c.cancelServed != nil {
			c.cancelServed()
		}
	})
}

// cancel ends the call because its own caller has left.
func (c *peerCall) cancel() {
	if c.over {
		return
	}
	c.withdraw()
	c.done = nil
	c.end(nil, kind.Canceled)
}

func (c *peerCall) end(p *peerReply, k kind.Kind) {
	if c.over {
		return
	}
	c.over = true
	c.timer.stop()
	if i := slices.Index(c.link.pending, c); i >= 0 {
		c.link.pending = slices.Delete(c.link.pending, i, i+1)
	}
	now := c.from.w.now
	result := routing.Result{Latency: now.Sub(c.begun), Kind: k, Importance: c.request.importance}
	if p != nil {
		result.Kind, result.Load, result.Status, result.Responded = p.kind, p.load, p.status, true
		c.from.observe(p)
	}
	c.from.routes[c.request.op.Service].Done(now, routing.TargetID(c.to.target.id), result)
	if c.done != nil {
		c.done(p, k)
	}
}

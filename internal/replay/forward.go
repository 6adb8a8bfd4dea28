package replay

import (
	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
	"github.com/goldcrestsail/goldcrestsail/retry"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// grant is the allowance of a call at the node that sends it: a client's
// request has its own, a sub-call has the part that its chain granted.
type grant interface {
	// carried is what the present attempt takes along.
	carried() int
	// more reports whether a retry is left, without drawing it.
	more() bool
	// retry ends the present attempt and draws 1 for another.
	retry(chain.Outcome) bool
	// end ends the last attempt.
	end(chain.Outcome)
}

// entryGrant is the allowance of a client's request.
type entryGrant struct {
	allowance *retry.Allowance
	part      retry.Share
}

func newEntryGrant(n int) *entryGrant {
	g := &entryGrant{allowance: retry.NewAllowance(n)}
	g.part = g.allowance.Split(1)
	return g
}

func (g *entryGrant) carried() int { return g.part.Retries() }
func (g *entryGrant) more() bool   { return g.allowance.Remaining() > 0 }

func (g *entryGrant) retry(out chain.Outcome) bool {
	g.end(out)
	if !g.allowance.Take() {
		return false
	}
	g.part = g.allowance.Split(1)
	return true
}

func (g *entryGrant) end(out chain.Outcome) {
	if out.Answered {
		g.allowance.Reclaim(&g.part, out.Unused)
	}
}

// chainGrant is the allowance of a sub-call.
type chainGrant struct {
	node  *node
	token chain.Token
	grant chain.Grant
}

func (g *chainGrant) carried() int { return g.grant.Allowance() }

func (g *chainGrant) more() bool {
	c, ok := g.node.chains.Lookup(g.token)
	return ok && c.Allowance > 0
}

func (g *chainGrant) retry(out chain.Outcome) bool {
	next, err := g.node.chains.Retry(g.node.w.now, g.token, &g.grant, out)
	if err == nil {
		g.grant = next
	}
	return err == nil
}

func (g *chainGrant) end(out chain.Outcome) {
	g.node.chains.EndCall(g.node.w.now, g.token, &g.grant, out)
}

// forward sends one call of a client or a target to a service, with retries.
type forward struct {
	node    *node
	grant   grant
	request peerRequest
	pinned  routing.TargetID
	tried   []routing.TargetID
	current *peerCall
	over    bool
	// suspect says that only the designated target may run the request.
	suspect bool
	// mayHaveRun reports that an earlier attempt may have run, so that a
	// refusal of a later one must not be passed on as not run.
	mayHaveRun bool
	done       func(peerReply)
}

// run makes one attempt.
func (f *forward) run() {
	n, w := f.node, f.node.w
	in := routing.PickInput{
		Exclude: f.tried, FailureDomain: n.target.domain, Pinned: f.pinned, Importance: f.request.importance,
		MayProbe: f.request.op.Retryable,
	}
	switch n.quarantine.Check(w.now, quarantine.Fingerprint(f.request.fingerprint)).State {
	case quarantine.Quarantined:
		f.refuse(kind.Quarantined)
		return
	case quarantine.Suspect:
		in.Designated, f.suspect = f.request.fingerprint, true
	}
	id, err := n.routes[f.request.op.Service].Pick(n.rng, w.now, in)
	if err != nil {
		f.refuse(kind.Of(err).Kind)
		return
	}
	f.tried = append(f.tried, id)
	f.request.allowance = f.grant.carried()
	f.current = n.call(n.layer.byID[id], f.request, f.responded)
}

// refuse ends the call without an attempt.
func (f *forward) refuse(k kind.Kind) {
	p := refusal(k)
	if f.mayHaveRun {
		p.run = kind.MayHaveRun
	}
	f.finish(peerReply{reply: p}, chain.Outcome{})
}

// responded handles the end of an attempt: a retry while the kind, the class,
// the allowance and the budget of the service permit one.
func (f *forward) responded(p *peerReply, lost kind.Kind) {
	out := chain.Outcome{}
	if p == nil {
		p = &peerReply{reply: refusal(lost)}
	} else {
		out = chain.Outcome{Answered: true, Unused: p.unused, Visited: p.visited}
	}
	if f.mayHaveRun && p.run == kind.NotRun {
		p.run = kind.MayHaveRun
	}
	n, now := f.node, f.node.w.now
	row := kind.ResponseFor(p.kind)
	f.mayHaveRun = f.mayHaveRun || p.run != kind.NotRun
	again := p.kind != "" && row.Retryable && (!f.mayHaveRun || f.request.op.Retryable) &&
		f.pinned == "" && !f.suspect && now.Before(f.request.deadline) && f.grant.more()
	if !again || !n.budgets[f.request.op.Service].AllowRetry(now) {
		f.finish(*p, out)
		return
	}
	if !f.grant.retry(out) {
		f.finish(*p, chain.Outcome{})
		return
	}
	f.request.attempt.retries++
	f.run()
}

func (f *forward) finish(p peerReply, out chain.Outcome) {
	if f.over {
		return
	}
	f.over = true
	f.grant.end(out)
	f.done(p)
}

// cancel ends the call because its caller has left.
func (f *forward) cancel() {
	if f.over {
		return
	}
	f.over = true
	if f.current != nil {
		f.current.cancel()
	}
	f.grant.end(chain.Outcome{})
}

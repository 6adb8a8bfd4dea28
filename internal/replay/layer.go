package replay

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/routing"
	"github.com/goldcrestsail/goldcrestsail/shedding"
)

const (
	// gossipMin and gossipSpread bound the time in which a change of state
	// reaches another node: a few rounds of urgent updates.
	gossipMin    = 200 * time.Millisecond
	gossipSpread = 600 * time.Millisecond
)

// layer is goldcrestsail on the fakes: a node beside every target.
type layer struct {
	w     *world
	nodes []*node
	byID  map[routing.TargetID]*node
	links map[[2]int]*link
	log   *logFake
	// reporting is how load reports travel, reported their bytes.
	reporting reporting
	reported  int
	chainIDs  uint64
}

func newLayer(w *world) system { return newLayerReporting(w, withResponses) }

func newLayerReporting(w *world, how reporting) *layer {
	l := &layer{w: w, byID: map[routing.TargetID]*node{}, links: map[[2]int]*link{}, reporting: how}
	l.log = &logFake{w: w, streams: map[string]*stream{}}
	for _, t := range w.targets {
		n := newNode(l, t)
		l.nodes = append(l.nodes, n)
		l.byID[routing.TargetID(t.id)] = n
	}
	for _, n := range l.nodes {
		for _, t := range w.targets {
			n.learn(t, t.state)
		}
	}
	return l
}

func (l *layer) link(a, b *node) *link {
	key := [2]int{a.target.index, b.target.index}
	if l.links[key] == nil {
		l.links[key] = &link{}
	}
	return l.links[key]
}

// issueKey asks the node of a target of the service for a key.
func (l *layer) issueKey(r *request, done func()) {
	n := l.nodes[r.entry.index]
	id, err := n.routes[r.op.Service].Pick(n.rng, l.w.now, routing.PickInput{FailureDomain: n.target.domain})
	if err != nil {
		l.w.after(readRetry, func() { l.issueKey(r, done) })
		return
	}
	issuer := l.byID[id]
	delay := l.w.clientLatency() + l.w.latency(n.target, issuer.target)
	l.w.after(delay, func() {
		issuer.claims.issue(r)
		l.w.after(delay, done)
	})
}

// submit is the entry of a client's request: early shedding, then the call.
func (l *layer) submit(a *attempt, entry *target, done func(reply)) func() {
	n, r, now := l.nodes[entry.index], a.request, l.w.now
	l.chainIDs++
	request := peerRequest{
		op: r.op, attempt: a, chainID: strconv.FormatUint(l.chainIDs, 16), importance: r.op.Importance,
		class: r.op.Class, deadline: a.deadline.Add(-l.w.clientLatency()), fingerprint: r.fingerprint(r.op),
	}
	verdict := n.shed.Check(shedding.Request{
		Service: r.op.Service, Class: r.op.Class, Importance: r.op.Importance,
		ChainLevel: admission.ChainLevel(request.chainID),
	}, now, n.rng)
	if verdict.Refuse {
		l.checkEarlyInversion(r.op, verdict.Service)
		done(refusal(kind.ShedEarly))
		return nil
	}
	f := &forward{node: n, grant: newEntryGrant(n.policies[r.op.Service].RetryAllowance), request: request}
	if r.issuer != nil {
		f.pinned = routing.TargetID(r.issuer.id)
	}
	f.done = func(p peerReply) {
		if p.kind == "" && p.status == statusOK {
			n.shed.Learn(r.op.Service, r.op.Class, p.visited)
		}
		done(p.reply)
	}
	n.budgets[r.op.Service].RecordAttempt(now)
	f.run()
	return f.cancel
}

// earlyInversionWindow is the time before an early refusal in which a less
// important request must not have begun at the service that it was refused for.
// Levels are set anew at this interval.
const earlyInversionWindow = admission.LevelInterval

// checkEarlyInversion counts an important request that is refused at the entry
// although a less important one has just begun at the service named.
func (l *layer) checkEarlyInversion(op *Operation, service string) {
	if !op.Important {
		return
	}
	for _, t := range l.w.byService[service] {
		if l.nodes[t.index].passed.inverted(op.Importance, l.w.now.Add(-earlyInversionWindow)) {
			l.w.ledger.inversions++
			return
		}
	}
}

// subCall is the entry of a sub-call: everything but the operation comes from
// the chain table of the node.
func (l *layer) subCall(parent *job, op *Operation, done func(reply)) func() {
	s := parent.context.(*served)
	n, now := s.node, l.w.now
	fingerprint := parent.attempt.request.fingerprint(op)
	granted, err := n.chains.BeginCall(now, s.token, chain.Call{
		Service: op.Service, Fingerprint: fingerprint, MaxDepth: n.policies[op.Service].MaxDepth,
	})
	c, ok := n.chains.Lookup(s.token)
	if err != nil || !ok {
		l.w.after(0, func() { done(refusal(kind.Of(err).Kind)) })
		return nil
	}
	if granted.Repeat {
		parent.attempt.retries++
	}
	f := &forward{node: n, grant: &chainGrant{n, s.token, granted}, request: peerRequest{
		op: op, attempt: parent.attempt, chainID: c.ID, importance: c.Importance, class: c.Class,
		depth: c.Depth + 1, path: c.Path, deadline: c.Deadline, fingerprint: fingerprint,
	}}
	f.done = func(p peerReply) {
		s.levels = mergeLevels(s.levels, p.levels)
		done(p.reply)
	}
	n.budgets[op.Service].RecordAttempt(now)
	f.run()
	return f.cancel
}

// mergeLevels adds levels from below to those of a request; the newest level of
// a target wins.
func mergeLevels(have, more []serviceLevel) []serviceLevel {
	for _, m := range more {
		i := slices.IndexFunc(have, func(h serviceLevel) bool { return h.target == m.target })
		switch {
		case i < 0:
			have = append(have, m)
		case m.at.After(have[i].at):
			have[i] = m
		}
	}
	return have
}

// stateChanged spreads a target's state: its own node knows at once, the others
// within the time of the gossip.
func (l *layer) stateChanged(t *target) {
	l.nodes[t.index].ownState(t.state)
	for _, n := range l.nodes {
		delay := time.Duration(0)
		if n.target != t {
			delay = l.gossipDelay(l.nodes[t.index], n)
		}
		state := t.state
		l.w.after(delay, func() { n.learn(t, state) })
	}
}

// gossipDelay is how long news of one node takes to reach another.
func (l *layer) gossipDelay(from, to *node) time.Duration {
	pair := uint64(to.target.index)*4096 + uint64(from.target.index)
	return gossipMin + time.Duration(l.w.fraction("gossip", pair)*float64(gossipSpread))
}

func (l *layer) died(t *target) {
	l.nodes[t.index].reportCrash()
	l.nodes[t.index].refuseWaiting()
	l.stateChanged(t)
}

// silence stops a share of the connections between a domain and the rest.
func (l *layer) silence(domain string, share float64) {
	for _, a := range l.nodes {
		for _, b := range l.nodes {
			pair := uint64(a.target.index)*4096 + uint64(b.target.index)
			if (a.target.domain == domain) == (b.target.domain == domain) || l.w.fraction("silent", pair) >= share {
				continue
			}
			found := pingFound + time.Duration(l.w.fraction("ping", pair)*float64(pingSpread))
			l.link(a, b).goSilent(l.w, found)
		}
	}
}

// newRand returns the randomness of one node.
func (l *layer) newRand(t *target) *rand.Rand {
	return rand.New(rand.NewPCG(l.w.head.Seed, uint64(t.index)+1))
}

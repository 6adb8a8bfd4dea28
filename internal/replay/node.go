package replay

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/limit"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
	"github.com/goldcrestsail/goldcrestsail/retry"
	"github.com/goldcrestsail/goldcrestsail/routing"
	"github.com/goldcrestsail/goldcrestsail/shedding"
)

// protectedImportances covers payouts, orders and quotes.
const protectedImportances = 2

const statusOK = http.StatusOK

// node is the node beside one target: the decision packages and the path of a
// call between them.
type node struct {
	w          *world
	layer      *layer
	target     *target
	rng        *rand.Rand
	policies   map[string]*policy.Policy
	routes     map[string]*routing.Table
	budgets    map[string]*retry.Budget
	queue      *admission.Queue
	limiter    *limit.Limiter
	chains     *chain.Table
	shed       *shedding.Table
	quarantine *quarantine.Table
	reports    *reports
	// claims is nil when the service has no non-idempotent class.
	claims *claims

	served map[admission.ID]*served
	// byImportance counts all requests at the node, waiting those that the
	// target has not got.
	byImportance, waiting [policy.MaxImportance + 1]int
	nextID                admission.ID
	expiry                *timer
	draining, starting    bool
	passed                service
}

// served is a request at the node beside its target.
type served struct {
	node  *node
	id    admission.ID
	token chain.Token
	// claim is the token of the idempotency key, or 0.
	claim uint64
	// trial says that the request is a suspect that runs alone.
	trial   bool
	request peerRequest
	arrived time.Time
	job     *job
	levels  []serviceLevel
	respond func(peerReply)
}

func newNode(l *layer, t *target) *node {
	now := l.w.now
	n := &node{
		w: l.w, layer: l, target: t, rng: l.newRand(t), policies: map[string]*policy.Policy{},
		routes: map[string]*routing.Table{}, budgets: map[string]*retry.Budget{},
		chains: chain.NewTable(chain.Config{}), shed: shedding.NewTable(shedding.Config{ProtectedImportances: protectedImportances}),
		served: map[admission.ID]*served{}, quarantine: quarantine.New(quarantine.Config{Reporter: uint64(t.index) + 1}.WithDefaults()),
	}
	for i := range l.w.head.Services {
		s := &l.w.head.Services[i]
		n.policies[s.Name] = l.w.head.policyOf(s)
		n.routes[s.Name] = routing.NewTable(routing.Options{Node: t.id})
		n.budgets[s.Name] = retry.NewBudget(retry.BudgetConfig{
			Ratio: n.policies[s.Name].RetryBudgetRatio, MinRatePerSecond: retry.DefaultMinRatePerSecond, Burst: retry.DefaultBurst,
		}, now)
	}
	p := n.policies[t.service.Name]
	// The targets of a trace have run for long, unless it says otherwise.
	longAgo := now.Add(-time.Hour)
	n.limiter = limit.New(limit.Config{Slots: p.Slots, MinLimit: p.MinLimit, ColdStart: p.ColdStart}, longAgo)
	n.limiter.Tick(now)
	n.queue = admission.NewQueue(admission.Config{QueueTimeout: p.QueueTimeout}, n.limiter.Limit(), now)
	n.starting = t.state != routing.Ready
	if slices.ContainsFunc(l.w.head.Operations, func(o Operation) bool { return o.NonIdempotent && o.Service == t.service.Name }) {
		n.claims = newClaims(n)
	}
	n.tick()
	n.tickQuarantine()
	n.reports = newReports(n)
	return n
}

func (n *node) tick() {
	n.limiter.Tick(n.w.now)
	n.decide(n.queue.SetLimit(n.w.now, n.limiter.Limit()))
	n.w.after(limit.TickInterval, n.tick)
}

// ownState follows the state that the node's own target announces.
func (n *node) ownState(s routing.State) {
	n.draining, n.starting = s == routing.Draining, s == routing.Starting || s == routing.Down
	if s == routing.Ready {
		n.limiter.TargetStarted(n.w.now)
	}
}

// propagationTime is how long the report of a crash is held back.
const propagationTime = time.Second

func (n *node) tickQuarantine() {
	n.publish(n.quarantine.Tick(n.w.now))
	n.w.after(propagationTime/2, n.tickQuarantine)
}

// publish spreads entries of the quarantine within the time of the gossip.
func (n *node) publish(effects []quarantine.Effect) {
	for _, effect := range effects {
		entry := effect.(quarantine.Publish).Entry
		for _, other := range n.layer.nodes {
			if other != n {
				n.w.after(n.layer.gossipDelay(n, other), func() { other.quarantine.Merge(n.w.now, entry) })
			}
		}
	}
}

// reportCrash makes suspects of the requests that the target had.
func (n *node) reportCrash() {
	var inFlight []quarantine.Fingerprint
	for _, id := range slices.Sorted(maps.Keys(n.served)) {
		if s := n.served[id]; s.job != nil {
			inFlight = append(inFlight, quarantine.Fingerprint(s.request.fingerprint))
		}
	}
	n.publish(n.quarantine.Crashed(n.w.now, inFlight, nil))
}

// refuseWaiting refuses every request that the target has not got.
func (n *node) refuseWaiting() {
	n.starting = true
	ids := slices.Sorted(maps.Keys(n.served))
	for _, id := range ids {
		if s := n.served[id]; s.job == nil {
			n.forget(s)
			n.decide(n.queue.Cancel(n.w.now, id))
			s.refuse(kind.Starting)
		}
	}
}

// learn enters what the membership says about a target.
func (n *node) learn(t *target, s routing.State) {
	n.routes[t.service.Name].Update(n.w.now, routing.Member{
		ID: routing.TargetID(t.id), FailureDomain: t.domain, State: s, Slots: t.service.Slots,
	})
	if s == routing.Down {
		n.shed.RemoveTarget(t.service.Name, t.id)
	}
}

// observe takes the levels from a response.
func (n *node) observe(p *peerReply) {
	for _, l := range p.levels {
		n.shed.Observe(l.service, l.target, l.level, l.at)
	}
}

// receive handles a request from another node and returns how to cancel it.
func (n *node) receive(r peerRequest, respond func(peerReply)) func() {
	s := &served{node: n, request: r, arrived: n.w.now, respond: respond}
	switch {
	case n.draining:
		s.refuse(kind.Draining)
		return nil
	case n.starting:
		s.refuse(kind.Starting)
		return nil
	}
	f := quarantine.Fingerprint(r.fingerprint)
	switch n.quarantine.Check(n.w.now, f).State {
	case quarantine.Quarantined:
		s.refuse(kind.Quarantined)
		return nil
	case quarantine.Suspect:
		if !n.quarantine.BeginTrial(n.w.now, f) {
			s.refuse(kind.Shed)
			return nil
		}
		s.trial = true
	}
	n.reports.called(r.from)
	n.nextID++
	s.id = n.nextID
	if r.op.NonIdempotent {
		n.claims.begin(s)
	} else {
		n.offer(s)
	}
	return s.cancel
}

func (n *node) offer(s *served) {
	n.served[s.id] = s
	n.byImportance[s.request.importance]++
	n.waiting[s.request.importance]++
	n.decide(n.queue.Offer(n.w.now, admission.Request{
		ID: s.id, Rank: s.request.rank(), Deadline: s.request.deadline, ServiceTime: n.limiter.ServiceTime(),
	}))
}

func (n *node) forget(s *served) {
	delete(n.served, s.id)
	n.byImportance[s.request.importance]--
	if s.job == nil {
		n.waiting[s.request.importance]--
	}
}

// decide carries out the decisions of the queue and sets the next expiry.
func (n *node) decide(decisions []admission.Decision) {
	for _, d := range decisions {
		s := n.served[d.ID]
		if s == nil {
			continue
		}
		if !d.Admitted() {
			n.forget(s)
			n.checkInversion(s, d.Refused)
			s.refuse(d.Refused)
			continue
		}
		s.run()
	}
	n.expiry.stop()
	n.expiry = nil
	if at, ok := n.queue.NextExpiry(); ok {
		n.expiry = n.w.after(max(0, at.Sub(n.w.now)), func() {
			n.expiry = nil
			n.decide(n.queue.Expire(n.w.now))
		})
	}
}

// checkInversion counts an important request that is refused for lack of
// capacity although a less important one waits or began after it arrived.
func (n *node) checkInversion(s *served, k kind.Kind) {
	if k != kind.Shed && k != kind.QueueTimeout {
		return
	}
	inverted := n.passed.inverted(s.request.importance, s.arrived)
	for _, waiting := range n.waiting[s.request.importance+1:] {
		inverted = inverted || waiting > 0
	}
	if inverted {
		n.w.ledger.inversions++
	}
}

// run starts the request at the target.
func (s *served) run() {
	n, r := s.node, s.request
	if s.claim != 0 && !n.claims.mayWrite(s.claim) {
		n.forget(s)
		s.refuse(kind.ClaimUnavailable)
		n.decide(n.queue.Release(n.w.now, s.id))
		return
	}
	n.passed.begun(r.importance, n.w.now)
	binary.BigEndian.PutUint64(s.token[:], uint64(n.target.index)<<48|uint64(s.id))
	err := n.chains.Enter(n.w.now, s.token, chain.Chain{
		ID: r.chainID, Class: r.class, Importance: r.importance, Deadline: r.deadline, Depth: r.depth,
		Path: append(r.path[:len(r.path):len(r.path)], r.op.Service), Allowance: r.allowance,
	}, n.policies[r.op.Service].MaxDepth)
	if err != nil {
		n.forget(s)
		s.refuse(kind.Of(err).Kind)
		n.decide(n.queue.Release(n.w.now, s.id))
		return
	}
	n.waiting[r.importance]--
	s.job = &job{op: r.op, attempt: r.attempt, context: s, done: s.finished, lost: s.crashed}
	n.target.serve(s.job)
}

// finished returns the response of the target.
func (s *served) finished(p reply) {
	summary := s.leave(false)
	s.trial = false
	s.node.publish(s.node.quarantine.Completed(s.node.w.now, quarantine.Fingerprint(s.request.fingerprint)))
	switch {
	case p.noEffect:
		s.release()
	case s.claim != 0:
		s.node.claims.step(idempotency.Finish{Token: s.claim, Response: p.encode()})
	}
	s.respond(s.reply(p, summary.Unused, summary.Visited))
}

// leave ends the request at the target and gives its slot back.
func (s *served) leave(timedOut bool) chain.Summary {
	n, now := s.node, s.node.w.now
	summary, _ := n.chains.Leave(now, s.token)
	n.forget(s)
	n.limiter.Observe(now, limit.Sample{
		Latency: summary.OwnTime, Total: summary.Total, InFlight: len(n.target.running) + len(n.target.waiting) + 1, TimedOut: timedOut,
	})
	n.decide(n.queue.SetLimit(now, n.limiter.Limit()))
	n.decide(n.queue.Release(now, s.id))
	return summary
}

// crashed answers after the target's process died with the request.
func (s *served) crashed() {
	s.leave(false)
	if s.claim != 0 {
		s.node.claims.step(idempotency.ResponseLost{Token: s.claim})
	}
	// Held back, so that every node knows of the suspicion when the caller sends
	// the request again.
	s.node.w.after(propagationTime, func() { s.respond(s.reply(refusal(kind.TargetCrashed), 0, nil)) })
}

// refuse answers that the request was not run.
func (s *served) refuse(k kind.Kind) {
	s.endTrial()
	s.release()
	s.respond(s.reply(refusal(k).notRun(), s.request.allowance, nil))
}

func (s *served) endTrial() {
	if s.trial {
		s.node.quarantine.EndTrial(quarantine.Fingerprint(s.request.fingerprint))
		s.trial = false
	}
}

// release gives up the claim of a request that the target has not got, or that
// failed there before its effect.
func (s *served) release() {
	if s.claim != 0 {
		s.node.claims.step(idempotency.Release{Token: s.claim})
		s.claim = 0
	}
}

func (p reply) notRun() reply {
	p.run = kind.NotRun
	return p
}

// load is what the node reports of its target.
func (n *node) load() routing.Load {
	stats := n.queue.Stats(n.w.now)
	return routing.Load{
		InFlight: stats.Running, Waiting: stats.Waiting, Limit: stats.Limit, Draining: n.draining,
		ByImportance: slices.Clone(n.byImportance[:]), ServiceTime: n.limiter.ServiceTime(),
	}
}

// reply adds the load and the levels to a response.
func (s *served) reply(p reply, unused int, visited []string) peerReply {
	n, now := s.node, s.node.w.now
	stats := n.queue.Stats(now)
	own := serviceLevel{n.target.service.Name, n.target.id, stats.Level, now}
	return peerReply{
		reply: p, unused: unused, visited: visited, levels: mergeLevels([]serviceLevel{own}, s.levels),
		load: n.reports.withResponse(s.request.from),
	}
}

// cancel ends a request whose caller has left, except a non-idempotent one that
// its target has got.
func (s *served) cancel() {
	n := s.node
	if n.claims != nil && n.claims.waiting[uint64(s.id)] == s {
		delete(n.claims.waiting, uint64(s.id))
		n.claims.step(idempotency.Cancel{Attempt: uint64(s.id)})
		return
	}
	if n.served[s.id] != s {
		return
	}
	if s.job == nil {
		n.forget(s)
		s.release()
		s.endTrial()
		n.decide(n.queue.Cancel(n.w.now, s.id))
		return
	}
	if s.request.op.NonIdempotent {
		return
	}
	s.endTrial()
	n.target.cancel(s.job)
	s.leave(true)
}

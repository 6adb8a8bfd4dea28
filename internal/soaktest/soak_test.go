package soaktest

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/limit"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
	"github.com/goldcrestsail/goldcrestsail/retry"
	"github.com/goldcrestsail/goldcrestsail/routing"
	"github.com/goldcrestsail/goldcrestsail/shedding"
)

const (
	requestsPerSecond = 20
	slots             = 4
	targets           = 12
	visited           = 15
)

// finishing is a request at the target.
type finishing struct {
	at    time.Time
	start time.Time
	id    admission.ID
}

// system holds one of each kind of state that a node keeps.
type system struct {
	t       *testing.T
	rng     *rand.Rand
	start   time.Time
	now     time.Time
	queue   *admission.Queue
	limiter *limit.Limiter
	shed    *shedding.Table
	budget  *retry.Budget
	chains  *chain.Table
	routes  *routing.Table
	crashes *quarantine.Table
	keys    *idempotency.Machine

	serial   uint64
	running  []finishing
	members  []routing.TargetID
	shedding int
}

func newSystem(t *testing.T) *system {
	start := time.Unix(1_700_000_000, 0)
	s := &system{
		t: t, rng: rand.New(rand.NewPCG(1, 1)), start: start, now: start,
		queue:   admission.NewQueue(admission.Config{}, slots, start),
		limiter: limit.New(limit.Config{Slots: slots, MinLimit: 2}, start),
		shed:    shedding.NewTable(shedding.Config{}),
		budget:  retry.NewBudget(retry.BudgetConfig{Ratio: 0.1, MinRatePerSecond: retry.DefaultMinRatePerSecond, Burst: retry.DefaultBurst}, start),
		chains:  chain.NewTable(chain.Config{}),
		routes:  routing.NewTable(routing.Options{Node: "node"}),
		crashes: quarantine.New(quarantine.Config{Reporter: 1}),
		keys:    idempotency.NewMachine(idempotency.Config{}.WithDefaults(), idempotency.ProcessID{1}, idempotency.Seed{Nonce: 1}),
	}
	for range targets {
		s.join()
	}
	return s
}

// join adds a target with a new ID.
func (s *system) join() {
	s.serial++
	id := routing.TargetID(fmt.Sprintf("target-%d", s.serial))
	s.members = append(s.members, id)
	s.routes.Update(s.now, routing.Member{ID: id, FailureDomain: "domain", State: routing.Ready, Slots: slots})
}

// replace lets the oldest target leave and a new one join.
func (s *system) replace() {
	s.routes.Remove(s.now, s.members[0])
	s.members = s.members[1:]
	s.join()
}

// request runs one request through all packages. It offers more than the
// target serves, so that some requests wait and some are refused.
func (s *system) request() {
	s.serial++
	serial := s.serial
	id, err := s.routes.Pick(s.rng, s.now, routing.PickInput{FailureDomain: "domain"})
	if err == nil {
		s.routes.Start(s.now, id)
		s.routes.Done(s.now.Add(time.Millisecond), id, routing.Result{Latency: 50 * time.Millisecond, Responded: true})
	}
	class := fmt.Sprintf("class-%d", serial%10)
	s.shed.Check(shedding.Request{Service: "service-0.customer", Class: class, Importance: int(serial % 10)}, s.now, s.rng)
	var path []string
	for i := range visited {
		path = append(path, fmt.Sprintf("service-%d.customer", (uint64(i)+serial)%95))
	}
	s.shed.Learn(path[0], class, path)
	s.shed.Observe(path[0], fmt.Sprintf("target-%d", serial), admission.MakeRank(9, false, 0), s.now)

	s.budget.RecordAttempt(s.now)
	if serial%50 == 0 {
		s.budget.AllowRetry(s.now)
	}
	s.call(serial)
	s.execute()
	s.settle(s.queue.Offer(s.now, admission.Request{
		ID: admission.ID(serial), Rank: admission.MakeRank(int(serial%10), false, uint8(serial)), Deadline: s.now.Add(time.Second),
	}))
}

// call runs a chain with one sub-call, of which some are never answered.
func (s *system) call(serial uint64) {
	var token chain.Token
	binary.BigEndian.PutUint64(token[:], serial)
	require.NoError(s.t, s.chains.Enter(s.now, token, chain.Chain{
		ID: fmt.Sprint(serial), Path: []string{"service-0.customer"}, Allowance: 2, Deadline: s.now.Add(time.Second),
	}, visited))
	g, err := s.chains.BeginCall(s.now, token, chain.Call{Service: "service-1.customer", Fingerprint: serial, MaxDepth: visited})
	require.NoError(s.t, err)
	s.chains.EndCall(s.now, token, &g, chain.Outcome{Answered: serial%20 != 0})
	s.chains.Leave(s.now, token)
}

// execute runs a request with an issued key and stores its response.
func (s *system) execute() {
	since := s.now.Sub(s.start)
	key, err := idempotency.ParseKey(s.keys.IssueKey(since))
	require.NoError(s.t, err)
	for _, e := range s.keys.Step(since, idempotency.Request{Attempt: s.serial, Key: key, Fingerprint: s.serial}) {
		r, ok := e.(idempotency.Respond)
		require.True(s.t, ok)
		require.Nil(s.t, r.Err)
		s.keys.Step(since, idempotency.Write{Token: r.Token})
		s.keys.Step(since, idempotency.Finish{Token: r.Token, Response: make([]byte, 64)})
	}
}

// settle starts the admitted requests.
func (s *system) settle(decisions []admission.Decision) {
	for _, d := range decisions {
		if d.Refused != "" {
			s.shedding++
			continue
		}
		took := time.Duration(100+s.rng.IntN(300)) * time.Millisecond
		s.running = append(s.running, finishing{at: s.now.Add(took), start: s.now, id: d.ID})
	}
}

// finish ends the requests whose time has come.
func (s *system) finish() {
	kept := s.running[:0]
	var done []finishing
	for _, f := range s.running {
		if f.at.After(s.now) {
			kept = append(kept, f)
			continue
		}
		done = append(done, f)
	}
	s.running = kept
	for _, f := range done {
		s.limiter.Observe(s.now, limit.Sample{Latency: f.at.Sub(f.start), InFlight: len(s.running) + 1})
		s.settle(s.queue.SetLimit(s.now, s.limiter.Limit()))
		s.settle(s.queue.Release(s.now, f.id))
	}
}

// run advances virtual time with steady load, a crash every 5 s and a replaced
// target every 20 s.
func (s *system) run(d time.Duration) {
	const step = time.Second / requestsPerSecond
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		s.finish()
		s.settle(s.queue.Expire(s.now))
		s.limiter.Tick(s.now)
		s.request()
		switch second := s.now.Sub(s.start); {
		case second%(20*time.Second) == 0:
			s.replace()
			fallthrough
		case second%(5*time.Second) == 0:
			s.crashes.Crashed(s.now, []quarantine.Fingerprint{quarantine.Fingerprint(s.serial), quarantine.Fingerprint(s.serial + 1)}, nil)
		case second%time.Second == 0:
			s.crashes.Tick(s.now)
			s.keys.Step(second, idempotency.Tick{})
		}
	}
}

// sizes returns the number of items in each kind of state.
func (s *system) sizes() map[string]float64 {
	keys := s.keys.Dump()
	queue := s.queue.Stats(s.now)
	usual := 0
	for i := range 95 {
		for class := range 10 {
			usual += len(s.shed.UsualPath(fmt.Sprintf("service-%d.customer", i), fmt.Sprintf("class-%d", class)))
		}
	}
	return map[string]float64{
		"admission running": float64(queue.Running), "admission waiting": float64(queue.Waiting),
		"limit": float64(s.limiter.Limit()), "shedding usual services": float64(usual),
		"retry tokens": s.budget.Tokens(s.now), "chain": float64(s.chains.Len()),
		"routing": float64(len(s.routes.Snapshot(s.now))), "quarantine": float64(s.crashes.Len()),
		"idempotency keys": float64(keys.LocalKeys), "idempotency running": float64(keys.RunningKeys),
		"idempotency responses": float64(keys.Responses), "idempotency response bytes": float64(keys.ResponseBytes),
	}
}

// Guards against state that grows with time under steady load. Keys are kept
// for up to 11 min 20 s, so between 10 and 60 minutes they may still grow by
// that share; slack covers small counts that vary from one moment to the next.
func TestStateDoesNotGrowWithTime(t *testing.T) {
	const factor, slack = 1.25, 12
	s := newSystem(t)
	s.run(10 * time.Minute)
	early := s.sizes()
	s.run(50 * time.Minute)
	late := s.sizes()
	require.Positive(t, s.shedding, "the load must exceed what the target serves")
	for name, after := range late {
		t.Logf("%s: %.0f after 10 min, %.0f after 60 min", name, early[name], after)
		require.LessOrEqual(t, after, factor*early[name]+slack, name)
	}
}

package idempotency

import (
	"encoding/binary"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

var (
	exploreSeed = flag.Uint64("explore.seed", 1, "first seed of TestExplore")
	exploreRuns = flag.Int("explore.runs", 400, "number of seeds of TestExplore")
)

const stepsPerSeed = 1200

var testConfig = Config{Window: 10 * time.Second, Skew: 2 * time.Second, MaxLogClockStep: time.Second,
	MaxResponseBytes: 26, MaxKeys: 1000, RetryPause: 100 * time.Millisecond}

// execution is one execution of a request at the target.
type execution struct {
	key, response string
	fingerprint   uint64
	claim         ClaimRef
	owner         ProcessID
	claimTimeMS   int64
}

type simAttempt struct {
	key                      string
	fingerprint              uint64
	node                     *simNode
	answered, reportedNotRun bool
	executions               int
}

type simToken struct {
	node    *simNode
	token   uint64
	attempt *simAttempt
	claim   ClaimRef
	timeMS  int64
	// stage is 0 after the grant, 1 with permission to write, 2 after the request
	// was written, 3 after its execution.
	stage    int
	response string
}

// notRunReport is a claim that its owner reported as not run.
type notRunReport struct {
	claim ClaimRef
	owner ProcessID
}

type simNode struct {
	id           ProcessID
	m            *Machine
	started      int64
	dead, paused bool
}

// simulation holds the processes, the log, a target and the responses to callers.
// Each seed produces one sequence of actions.
type simulation struct {
	rng                    *rand.Rand
	nowMS                  int64 // real time
	logMS                  int64 // the log's clock
	maxLogMS, retentionMS  int64
	outage                 bool
	records                []logservice.Record
	next, earliest, lastID uint64
	nodes                  []*simNode
	appends                []func(s *simulation, result int)
	delayedAppends         [][]byte
	ownerQueries           []func(s *simulation, reachable bool)
	tokens                 []*simToken
	attempts               map[uint64]*simAttempt
	replies                map[uint64]func(Outcome)
	keys                   []string
	executions             []execution
	notRunReports          []notRunReport
	violations             []string
	counts                 map[string]int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), nowMS: 1_000_000, logMS: 1_000_000,
		attempts: map[uint64]*simAttempt{}, replies: map[uint64]func(Outcome){},
		counts: map[string]int{}}
	s.retentionMS = testConfig.Window.Milliseconds() * int64(1+s.rng.IntN(5)) / 2
	s.nodes = make([]*simNode, 3)
	for i := range s.nodes {
		s.start(i)
	}
	return s
}

func (s *simulation) start(i int) {
	var id ProcessID
	binary.BigEndian.PutUint64(id[:], s.rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], s.rng.Uint64())
	seed := Seed{Nonce: s.rng.Uint64()}
	binary.BigEndian.PutUint64(seed.Secret[:], s.rng.Uint64())
	s.nodes[i] = &simNode{id: id, m: NewMachine(testConfig, id, seed), started: s.nowMS}
}

func (s *simulation) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *simulation) step(n *simNode, e Event) {
	if n.dead {
		return
	}
	for _, effect := range n.m.Step(time.Duration(s.nowMS-n.started)*time.Millisecond, e) {
		s.perform(n, effect)
	}
}

func (s *simulation) perform(n *simNode, effect Effect) {
	switch e := effect.(type) {
	case Append:
		s.appends = append(s.appends, func(s *simulation, result int) {
			if s.outage && result < 2 {
				result = 2
			}
			if result < 2 {
				s.appendRecord(e.Data)
			}
			if result == 3 {
				s.delayedAppends = append(s.delayedAppends, e.Data)
			}
			if result == 0 {
				s.step(n, AppendDone{Ref: e.Ref})
			} else {
				s.step(n, AppendFailed{Ref: e.Ref})
			}
		})
	case QueryOwner:
		s.ownerQueries = append(s.ownerQueries, func(s *simulation, reachable bool) {
			for _, peer := range s.nodes {
				if peer.id == e.Owner && reachable && !peer.paused {
					s.lastID++
					s.replies[s.lastID] = func(o Outcome) {
						if o.State == OutcomeNotRun {
							s.notRunReports = append(s.notRunReports, notRunReport{claim: e.Ref, owner: e.Owner})
						}
						s.step(n, OwnerReply{ID: e.ID, Ref: e.Ref, Outcome: o})
					}
					s.step(peer, OutcomeQuery{ID: s.lastID, Ref: e.Ref, Owner: e.Owner})
					return
				}
			}
			s.step(n, OwnerReply{ID: e.ID, Ref: e.Ref})
		})
	case OutcomeReply:
		reply := s.replies[e.ID]
		delete(s.replies, e.ID)
		reply(e.Outcome)
	case Respond:
		s.respond(n, e)
	}
}

func (s *simulation) respond(n *simNode, e Respond) {
	a := s.attempts[e.Attempt]
	if a.answered {
		s.violation("attempt %d answered twice", e.Attempt)
	}
	a.answered = true
	switch {
	case e.Token != 0:
		l := n.m.tokens[e.Token]
		s.tokens = append(s.tokens, &simToken{node: n, token: e.Token, attempt: a,
			claim: ClaimRef{Hash: l.key.Hash, Nonce: l.nonce}, timeMS: l.confirmedTimeMS})
	case e.Replayed:
		s.counts["replayed"]++
		for _, done := range s.executions {
			if done.response == string(e.Response) && done.key == a.key && done.fingerprint == a.fingerprint {
				return
			}
		}
		s.violation("attempt for %s got response %q, which its request did not produce", a.key, e.Response)
	default:
		s.counts[string(e.Err.Kind)]++
		a.reportedNotRun = e.Err.Run == kind.NotRun
		if e.Err.Run == kind.Ran {
			for _, done := range s.executions {
				if done.key == a.key {
					return
				}
			}
			s.violation("attempt for %s was reported as ran, but the key was never executed", a.key)
		}
	}
}

func (s *simulation) appendRecord(data []byte) {
	s.records = append(s.records, logservice.Record{Offset: s.next, Time: time.UnixMilli(s.logMS), Data: data})
	s.maxLogMS = max(s.maxLogMS, s.logMS)
	s.next++
}

// expire drops old records, and sometimes records of any age, like a log that
// bounds the size of a stream.
func (s *simulation) expire() {
	if len(s.records) > 0 && s.rng.IntN(3) == 0 {
		n := s.rng.IntN(len(s.records))
		s.records, s.earliest = s.records[n:], s.records[n].Offset
	}
	for len(s.records) > 0 && s.records[0].Time.UnixMilli() < s.logMS-s.retentionMS {
		s.earliest = s.records[0].Offset + 1
		s.records = s.records[1:]
	}
}

func (s *simulation) read(n *simNode) {
	from := max(n.m.Next(), s.earliest)
	b := logservice.Batch{Next: from, Earliest: s.earliest}
	limit := 1 + s.rng.IntN(8)
	for _, r := range s.records {
		if r.Offset >= from && len(b.Records) < limit {
			b.Records = append(b.Records, r)
			b.Next = r.Offset + 1
		}
	}
	s.step(n, Records{Batch: b, AtEnd: b.Next == s.next})
}

func (s *simulation) advance(ms int64) {
	s.nowMS += ms
	s.logMS += ms
}

func (s *simulation) newKey() string {
	switch s.rng.IntN(4) {
	case 0:
		return fmt.Sprintf("opaque-%d", s.rng.IntN(1000))
	case 1:
		n := s.nodes[s.rng.IntN(len(s.nodes))]
		return n.m.IssueKey(time.Duration(s.nowMS-n.started) * time.Millisecond)
	}
	var id uuid.UUID
	t := s.logMS + int64(s.rng.IntN(9000)) - 6000 // some are more than Skew ahead
	binary.BigEndian.PutUint64(id[:], uint64(t)<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], s.rng.Uint64()>>2|1<<63)
	return id.String()
}

func (s *simulation) request() {
	if len(s.keys) == 0 || s.rng.IntN(8) == 0 {
		s.keys = append(s.keys, s.newKey())
	}
	text := s.keys[len(s.keys)-1-s.rng.IntN(min(3, len(s.keys)))]
	key, err := ParseKey(text)
	if err != nil {
		s.violation("key %s: %v", text, err)
		return
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	fingerprint := uint64(1)
	if s.rng.IntN(12) == 0 {
		fingerprint = 2
	}
	s.lastID++
	s.attempts[s.lastID] = &simAttempt{key: text, fingerprint: fingerprint, node: n}
	s.step(n, Request{Attempt: s.lastID, Key: key, Fingerprint: fingerprint})
}

// advanceToken advances a random token by one stage or ends it.
func (s *simulation) advanceToken() {
	i := s.rng.IntN(len(s.tokens))
	t := s.tokens[i]
	ended := false
	switch {
	case t.node.paused:
	case t.stage < 2 && t.node.dead:
		ended = true // nothing was sent
	case t.stage < 2 && s.rng.IntN(6) == 0:
		s.step(t.node, Release{Token: t.token})
		// A paused process may still try to write after the release.
		t.attempt.reportedNotRun, ended = true, t.stage > 0 || s.rng.IntN(2) == 0
	case t.stage == 0:
		allowed := false
		for _, e := range t.node.m.Step(time.Duration(s.nowMS-t.node.started)*time.Millisecond, Write{Token: t.token}) {
			_, allowed = e.(AllowWrite)
		}
		if allowed {
			t.stage = 1
		} else {
			s.step(t.node, Release{Token: t.token})
			t.attempt.reportedNotRun, ended = true, true
		}
	case t.stage == 1:
		t.stage = 2
	case t.stage == 2:
		t.response = fmt.Sprintf("response-%d", len(s.executions))
		s.executions = append(s.executions, execution{key: t.attempt.key, fingerprint: t.attempt.fingerprint,
			claim: t.claim, owner: t.node.id, claimTimeMS: t.timeMS, response: t.response})
		t.attempt.executions++
		t.stage = 3
	case s.rng.IntN(4) == 0:
		s.step(t.node, ResponseLost{Token: t.token})
		ended = true
	default:
		s.step(t.node, Finish{Token: t.token, Response: []byte(t.response)})
		ended = true
	}
	if ended {
		s.tokens = append(s.tokens[:i:i], s.tokens[i+1:]...)
	}
}

func removeRandom[T any](rng *rand.Rand, from *[]T) (v T, ok bool) {
	if ok = len(*from) > 0; ok {
		i := rng.IntN(len(*from))
		v = (*from)[i]
		*from = append((*from)[:i:i], (*from)[i+1:]...)
	}
	return v, ok
}

func (s *simulation) randomAction() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch p := s.rng.IntN(1000); {
	case p < 150:
		s.request()
	case p < 330:
		if deliver, ok := removeRandom(s.rng, &s.appends); ok {
			// 0: appended; 1: appended, response lost; 2: failed; 3: appended later.
			deliver(s, []int{0, 0, 0, 0, 0, 0, 1, 1, 2, 3}[s.rng.IntN(10)])
		}
	case p < 345:
		if data, ok := removeRandom(s.rng, &s.delayedAppends); ok && !s.outage {
			s.appendRecord(data)
		}
	case p < 570:
		if !n.paused && !s.outage {
			s.read(n)
		}
	case p < 650:
		if ask, ok := removeRandom(s.rng, &s.ownerQueries); ok {
			ask(s, s.rng.IntN(5) > 0)
		}
	case p < 830:
		if len(s.tokens) > 0 {
			s.advanceToken()
		}
	case p < 880:
		if !n.paused {
			s.step(n, Tick{})
		}
	case p < 950:
		s.advance(int64(s.rng.IntN(300)))
	case p < 956:
		s.advance(int64(s.rng.IntN(12_000)))
	case p < 970:
		if id := s.oldestPending(n); id != 0 && !n.paused {
			s.step(n, []Event{Cancel{Attempt: id}, ClaimTimeout{Attempt: id}}[s.rng.IntN(2)])
		}
	case p < 976:
		if len(n.m.queries) > 0 {
			s.step(n, OutcomeQueryTimeout{ID: slices.Min(slices.Collect(maps.Keys(n.m.queries)))})
		}
	case p < 982:
		n.paused = !n.paused
	case p < 984:
		i := s.rng.IntN(len(s.nodes))
		s.nodes[i].dead, s.nodes[i].paused = true, false
		s.start(i)
		s.counts["restarts"]++
	case p < 988:
		s.outage = !s.outage && s.rng.IntN(3) == 0
	case p < 995:
		s.expire()
	case p < 997:
		s.step(n, ReadFailed{})
	default:
		// The log's clock steps back by at most MaxLogClockStep, or forward.
		back := s.logMS - testConfig.MaxLogClockStep.Milliseconds()
		s.logMS = max(back, s.maxLogMS-testConfig.MaxLogClockStep.Milliseconds()) + int64(s.rng.IntN(2500))
	}
}

func (s *simulation) oldestPending(n *simNode) uint64 {
	for id := uint64(1); id <= s.lastID; id++ {
		if a, ok := s.attempts[id]; ok && a.node == n && !a.answered {
			return id
		}
	}
	return 0
}

// check verifies the invariants over the whole run.
func (s *simulation) check() {
	for i, later := range s.executions {
		for _, earlier := range s.executions[:i] {
			if earlier.key != later.key {
				continue
			}
			key, _ := ParseKey(later.key)
			apart := max(later.claimTimeMS-earlier.claimTimeMS, earlier.claimTimeMS-later.claimTimeMS)
			if key.Format != FormatOpaque || apart <= testConfig.Window.Milliseconds() {
				s.violation("key %s (%v) executed twice, claims %d ms apart", later.key, key.Format, apart)
			}
		}
	}
	for _, done := range s.executions {
		for _, n := range s.notRunReports {
			if n.owner == done.owner && n.claim == done.claim {
				s.violation("claim for %s was reported as not run but was executed", done.key)
			}
		}
	}
	for id, a := range s.attempts {
		if a.reportedNotRun && a.executions > 0 {
			s.violation("attempt %d was reported as not run but was executed", id)
		}
	}
}

// Guards against repeated executions, false not-run reports and responses of other
// requests under lost, repeated and delayed appends, outages, expired records,
// steps of the log's clock, pauses, crashes and restarts.
func TestExplore(t *testing.T) {
	total := map[string]int{}
	for run := range *exploreRuns {
		seed := *exploreSeed + uint64(run)
		s := newSimulation(seed)
		for range stepsPerSeed {
			s.randomAction()
		}
		s.check()
		require.Empty(t, s.violations, "seed %d", seed)
		total["effects"] += len(s.executions)
		total["outcome not-run"] += len(s.notRunReports)
		for name, n := range s.counts {
			total[name] += n
		}
	}
	t.Log(total)
	// Without these events the run does not exercise the corresponding cases.
	for _, name := range []string{"effects", "replayed", "restarts", "outcome not-run", string(kind.ClaimLost),
		string(kind.KeyReused), string(kind.KeyExpired), string(kind.AlreadyRan), string(kind.ClaimUnavailable),
		string(kind.KeyMalformed), string(kind.DeadlineExpired)} {
		require.Positive(t, total[name], name)
	}
}

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

const exploreSteps = 1200

var exploreConfig = Config{Window: 10 * time.Second, Skew: 2 * time.Second, LogStep: time.Second,
	MaxResponseBytes: 26, MaxKeys: 1000, RetryPause: 100 * time.Millisecond}

// exploreEffect is one execution at the target.
type exploreEffect struct {
	key, response string
	fingerprint   uint64
	claim         ClaimRef
	owner         ProcessID
	claimTimeMS   int64
}

type exploreAttempt struct {
	key                  string
	fingerprint          uint64
	node                 *exploreNode
	answered, toldNotRun bool
	effects              int
}

type exploreToken struct {
	node    *exploreNode
	token   uint64
	attempt *exploreAttempt
	claim   ClaimRef
	timeMS  int64
	// stage: 0 granted, 1 may write, 2 bytes are on their way, 3 effect done.
	stage    int
	response string
}

// exploreNotRun is a claim that its owner said would never run.
type exploreNotRun struct {
	claim ClaimRef
	owner ProcessID
}

type exploreNode struct {
	id           ProcessID
	m            *Machine
	started      int64
	dead, paused bool
}

// exploreWorld holds processes, the log, a target and what callers were told.
// One seed gives one sequence of actions.
type exploreWorld struct {
	rng                    *rand.Rand
	nowMS                  int64 // real time
	logMS                  int64 // the log's clock
	maxLogMS, keepMS       int64
	outage                 bool
	records                []logservice.Record
	next, earliest, lastID uint64
	nodes                  []*exploreNode
	appends                []func(w *exploreWorld, fate int)
	late                   [][]byte
	asks                   []func(w *exploreWorld, reach bool)
	tokens                 []*exploreToken
	attempts               map[uint64]*exploreAttempt
	replies                map[uint64]func(Outcome)
	keys                   []string
	effects                []exploreEffect
	notRun                 []exploreNotRun
	faults                 []string
	counts                 map[string]int
}

func newExploreWorld(seed uint64) *exploreWorld {
	w := &exploreWorld{rng: rand.New(rand.NewPCG(seed, 7)), nowMS: 1_000_000, logMS: 1_000_000,
		attempts: map[uint64]*exploreAttempt{}, replies: map[uint64]func(Outcome){},
		counts: map[string]int{}}
	w.keepMS = exploreConfig.Window.Milliseconds() * int64(1+w.rng.IntN(5)) / 2
	w.nodes = make([]*exploreNode, 3)
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

func (w *exploreWorld) start(i int) {
	var id ProcessID
	binary.BigEndian.PutUint64(id[:], w.rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], w.rng.Uint64())
	seed := Seed{Nonce: w.rng.Uint64()}
	binary.BigEndian.PutUint64(seed.Secret[:], w.rng.Uint64())
	w.nodes[i] = &exploreNode{id: id, m: NewMachine(exploreConfig, id, seed), started: w.nowMS}
}

func (w *exploreWorld) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *exploreWorld) step(n *exploreNode, e Event) {
	if n.dead {
		return
	}
	for _, effect := range n.m.Step(time.Duration(w.nowMS-n.started)*time.Millisecond, e) {
		w.perform(n, effect)
	}
}

func (w *exploreWorld) perform(n *exploreNode, effect Effect) {
	switch e := effect.(type) {
	case Append:
		w.appends = append(w.appends, func(w *exploreWorld, fate int) {
			if w.outage && fate < 2 {
				fate = 2
			}
			if fate < 2 {
				w.appendRecord(e.Data)
			}
			if fate == 3 {
				w.late = append(w.late, e.Data)
			}
			if fate == 0 {
				w.step(n, AppendDone{Ref: e.Ref})
			} else {
				w.step(n, AppendFailed{Ref: e.Ref})
			}
		})
	case Ask:
		w.asks = append(w.asks, func(w *exploreWorld, reach bool) {
			for _, peer := range w.nodes {
				if peer.id == e.Owner && reach && !peer.paused {
					w.lastID++
					w.replies[w.lastID] = func(o Outcome) {
						if o.State == OutcomeNotRun {
							w.notRun = append(w.notRun, exploreNotRun{claim: e.Ref, owner: e.Owner})
						}
						w.step(n, Answer{ID: e.ID, Ref: e.Ref, Outcome: o})
					}
					w.step(peer, Question{ID: w.lastID, Ref: e.Ref, Owner: e.Owner})
					return
				}
			}
			w.step(n, Answer{ID: e.ID, Ref: e.Ref})
		})
	case Reply:
		reply := w.replies[e.ID]
		delete(w.replies, e.ID)
		reply(e.Outcome)
	case Respond:
		w.respond(n, e)
	}
}

func (w *exploreWorld) respond(n *exploreNode, e Respond) {
	a := w.attempts[e.Attempt]
	if a.answered {
		w.fault("attempt %d answered twice", e.Attempt)
	}
	a.answered = true
	switch {
	case e.Token != 0:
		l := n.m.tokens[e.Token]
		w.tokens = append(w.tokens, &exploreToken{node: n, token: e.Token, attempt: a,
			claim: ClaimRef{Hash: l.key.Hash, Nonce: l.nonce}, timeMS: l.placedTimeMS})
	case e.Replayed:
		w.counts["replayed"]++
		for _, done := range w.effects {
			if done.response == string(e.Response) && done.key == a.key && done.fingerprint == a.fingerprint {
				return
			}
		}
		w.fault("attempt for %s got %q, which its request did not produce", a.key, e.Response)
	default:
		w.counts[string(e.Err.Kind)]++
		a.toldNotRun = e.Err.Run == kind.NotRun
		if e.Err.Run == kind.Ran {
			for _, done := range w.effects {
				if done.key == a.key {
					return
				}
			}
			w.fault("attempt for %s was told ran, but it never ran", a.key)
		}
	}
}

func (w *exploreWorld) appendRecord(data []byte) {
	w.records = append(w.records, logservice.Record{Offset: w.next, Time: time.UnixMilli(w.logMS), Data: data})
	w.maxLogMS = max(w.maxLogMS, w.logMS)
	w.next++
}

// expire drops old records, and sometimes records of any age, as a log does
// that bounds the size of a stream.
func (w *exploreWorld) expire() {
	if len(w.records) > 0 && w.rng.IntN(3) == 0 {
		n := w.rng.IntN(len(w.records))
		w.records, w.earliest = w.records[n:], w.records[n].Offset
	}
	for len(w.records) > 0 && w.records[0].Time.UnixMilli() < w.logMS-w.keepMS {
		w.earliest = w.records[0].Offset + 1
		w.records = w.records[1:]
	}
}

func (w *exploreWorld) read(n *exploreNode) {
	from := max(n.m.Next(), w.earliest)
	b := logservice.Batch{Next: from, Earliest: w.earliest}
	limit := 1 + w.rng.IntN(8)
	for _, r := range w.records {
		if r.Offset >= from && len(b.Records) < limit {
			b.Records = append(b.Records, r)
			b.Next = r.Offset + 1
		}
	}
	w.step(n, Records{Batch: b, AtEnd: b.Next == w.next})
}

func (w *exploreWorld) advance(ms int64) {
	w.nowMS += ms
	w.logMS += ms
}

func (w *exploreWorld) newKey() string {
	switch w.rng.IntN(4) {
	case 0:
		return fmt.Sprintf("opaque-%d", w.rng.IntN(1000))
	case 1:
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		return n.m.IssueKey(time.Duration(w.nowMS-n.started) * time.Millisecond)
	}
	var id uuid.UUID
	t := w.logMS + int64(w.rng.IntN(9000)) - 6000 // some are beyond Skew
	binary.BigEndian.PutUint64(id[:], uint64(t)<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], w.rng.Uint64()>>2|1<<63)
	return id.String()
}

func (w *exploreWorld) request() {
	if len(w.keys) == 0 || w.rng.IntN(8) == 0 {
		w.keys = append(w.keys, w.newKey())
	}
	text := w.keys[len(w.keys)-1-w.rng.IntN(min(3, len(w.keys)))]
	key, err := ParseKey(text)
	if err != nil {
		w.fault("key %s: %v", text, err)
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	fingerprint := uint64(1)
	if w.rng.IntN(12) == 0 {
		fingerprint = 2
	}
	w.lastID++
	w.attempts[w.lastID] = &exploreAttempt{key: text, fingerprint: fingerprint, node: n}
	w.step(n, Request{Attempt: w.lastID, Key: key, Fingerprint: fingerprint})
}

// progress moves one token on by one stage or ends it.
func (w *exploreWorld) progress() {
	i := w.rng.IntN(len(w.tokens))
	t := w.tokens[i]
	ended := false
	switch {
	case t.node.paused:
	case t.stage < 2 && t.node.dead:
		ended = true // nothing was sent
	case t.stage < 2 && w.rng.IntN(6) == 0:
		w.step(t.node, Release{Token: t.token})
		// A paused holder may still try to write after the release.
		t.attempt.toldNotRun, ended = true, t.stage > 0 || w.rng.IntN(2) == 0
	case t.stage == 0:
		allowed := false
		for _, e := range t.node.m.Step(time.Duration(w.nowMS-t.node.started)*time.Millisecond, Write{Token: t.token}) {
			_, allowed = e.(AllowWrite)
		}
		if allowed {
			t.stage = 1
		} else {
			w.step(t.node, Release{Token: t.token})
			t.attempt.toldNotRun, ended = true, true
		}
	case t.stage == 1:
		t.stage = 2
	case t.stage == 2:
		t.response = fmt.Sprintf("response-%d", len(w.effects))
		w.effects = append(w.effects, exploreEffect{key: t.attempt.key, fingerprint: t.attempt.fingerprint,
			claim: t.claim, owner: t.node.id, claimTimeMS: t.timeMS, response: t.response})
		t.attempt.effects++
		t.stage = 3
	case w.rng.IntN(4) == 0:
		w.step(t.node, Lost{Token: t.token})
		ended = true
	default:
		w.step(t.node, Finish{Token: t.token, Response: []byte(t.response)})
		ended = true
	}
	if ended {
		w.tokens = append(w.tokens[:i:i], w.tokens[i+1:]...)
	}
}

func takeAny[T any](rng *rand.Rand, from *[]T) (v T, ok bool) {
	if ok = len(*from) > 0; ok {
		i := rng.IntN(len(*from))
		v = (*from)[i]
		*from = append((*from)[:i:i], (*from)[i+1:]...)
	}
	return v, ok
}

// act performs one random action.
func (w *exploreWorld) act() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch p := w.rng.IntN(1000); {
	case p < 150:
		w.request()
	case p < 330:
		if deliver, ok := takeAny(w.rng, &w.appends); ok {
			// 0 done, 1 answer lost, 2 failed, 3 delayed.
			deliver(w, []int{0, 0, 0, 0, 0, 0, 1, 1, 2, 3}[w.rng.IntN(10)])
		}
	case p < 345:
		if data, ok := takeAny(w.rng, &w.late); ok && !w.outage {
			w.appendRecord(data)
		}
	case p < 570:
		if !n.paused && !w.outage {
			w.read(n)
		}
	case p < 650:
		if ask, ok := takeAny(w.rng, &w.asks); ok {
			ask(w, w.rng.IntN(5) > 0)
		}
	case p < 830:
		if len(w.tokens) > 0 {
			w.progress()
		}
	case p < 880:
		if !n.paused {
			w.step(n, Tick{})
		}
	case p < 950:
		w.advance(int64(w.rng.IntN(300)))
	case p < 956:
		w.advance(int64(w.rng.IntN(12_000)))
	case p < 970:
		if id := w.lowestOpen(n); id != 0 && !n.paused {
			w.step(n, []Event{Cancel{Attempt: id}, ClaimTimeout{Attempt: id}}[w.rng.IntN(2)])
		}
	case p < 976:
		if len(n.m.questions) > 0 {
			w.step(n, QuestionTimeout{ID: slices.Min(slices.Collect(maps.Keys(n.m.questions)))})
		}
	case p < 982:
		n.paused = !n.paused
	case p < 984:
		i := w.rng.IntN(len(w.nodes))
		w.nodes[i].dead, w.nodes[i].paused = true, false
		w.start(i)
		w.counts["restarts"]++
	case p < 988:
		w.outage = !w.outage && w.rng.IntN(3) == 0
	case p < 995:
		w.expire()
	case p < 997:
		w.step(n, ReadFailed{})
	default:
		// The log's clock steps within its bound.
		back := w.logMS - exploreConfig.LogStep.Milliseconds()
		w.logMS = max(back, w.maxLogMS-exploreConfig.LogStep.Milliseconds()) + int64(w.rng.IntN(2500))
	}
}

func (w *exploreWorld) lowestOpen(n *exploreNode) uint64 {
	for id := uint64(1); id <= w.lastID; id++ {
		if a, ok := w.attempts[id]; ok && a.node == n && !a.answered {
			return id
		}
	}
	return 0
}

// check applies the invariants that concern the whole run.
func (w *exploreWorld) check() {
	for i, later := range w.effects {
		for _, earlier := range w.effects[:i] {
			if earlier.key != later.key {
				continue
			}
			key, _ := ParseKey(later.key)
			apart := max(later.claimTimeMS-earlier.claimTimeMS, earlier.claimTimeMS-later.claimTimeMS)
			if key.Form != FormOpaque || apart <= exploreConfig.Window.Milliseconds() {
				w.fault("key %s (%v) took effect twice, claims %d ms apart", later.key, key.Form, apart)
			}
		}
	}
	for _, done := range w.effects {
		for _, n := range w.notRun {
			if n.owner == done.owner && n.claim == done.claim {
				w.fault("claim of %s was declared not run and took effect", done.key)
			}
		}
	}
	for id, a := range w.attempts {
		if a.toldNotRun && a.effects > 0 {
			w.fault("attempt %d was told not-run and took effect", id)
		}
	}
}

// Guards against double effects, false not-run reports and foreign responses
// under lost, repeated and delayed appends, outages, expired records, steps of
// the log's clock, pauses, crashes and restarts.
func TestExplore(t *testing.T) {
	total := map[string]int{}
	for run := range *exploreRuns {
		seed := *exploreSeed + uint64(run)
		w := newExploreWorld(seed)
		for range exploreSteps {
			w.act()
		}
		w.check()
		require.Empty(t, w.faults, "seed %d", seed)
		total["effects"] += len(w.effects)
		total["outcome not-run"] += len(w.notRun)
		for name, n := range w.counts {
			total[name] += n
		}
	}
	t.Log(total)
	// A run that reaches none of these states proves nothing about them.
	for _, name := range []string{"effects", "replayed", "restarts", "outcome not-run", string(kind.ClaimLost),
		string(kind.KeyReused), string(kind.KeyExpired), string(kind.AlreadyRan), string(kind.ClaimUnavailable),
		string(kind.KeyMalformed), string(kind.DeadlineExpired)} {
		require.Positive(t, total[name], name)
	}
}

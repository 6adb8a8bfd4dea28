package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func outcomes(decisions []Decision) string {
	s := ""
	for _, d := range decisions {
		s += fmt.Sprintf("%d:%s ", d.ID, d.Refused)
	}
	return s
}

// referenceModel checks the decisions of a queue against the priority rules. It
// keeps only the sets of waiting and running requests. Times are in ms.
type referenceModel struct {
	t        *rapid.T
	limit    int
	config   Config
	waiting  map[ID]Request
	arrived  map[ID]int
	running  map[ID]bool
	lastCall int
	// arriving is the request that is offered in this call while a waiting request
	// has expired, or 0. The expired one is refused before the new one waits.
	arriving ID
}

func (m *referenceModel) offer(now int, r Request) {
	m.arriving = 0
	for id := range m.waiting {
		if time.Duration(now-m.arrived[id])*time.Millisecond >= m.config.QueueTimeout {
			m.arriving = r.ID
		}
	}
	m.waiting[r.ID], m.arrived[r.ID] = r, now
}

func (m *referenceModel) apply(now int, decisions []Decision) {
	m.lastCall = now
	for _, d := range decisions {
		r, ok := m.waiting[d.ID]
		require.True(m.t, ok, "decision for a request that does not wait")
		delete(m.waiting, d.ID)
		for _, other := range m.waiting {
			if d.Admitted() {
				require.LessOrEqual(m.t, r.Rank, other.Rank, "admitted while a request of smaller rank waits")
			} else if d.Refused != kind.DeadlineExpired && other.ID != m.arriving {
				require.GreaterOrEqual(m.t, r.Rank.Importance(), other.Rank.Importance(), "refused while a less important one waits")
			}
		}
		waited := time.Duration(now-m.arrived[d.ID]) * time.Millisecond
		require.Equal(m.t, waited, d.Waited)
		inTime := r.Deadline.IsZero() || !at(now).Add(r.ServiceTime).After(r.Deadline)
		switch d.Refused {
		case "":
			require.Less(m.t, len(m.running), m.limit)
			require.True(m.t, inTime, "started too late for its deadline")
			require.Less(m.t, waited, m.config.QueueTimeout)
			m.running[d.ID] = true
		case kind.DeadlineExpired:
			require.False(m.t, inTime && at(now).Add(r.ServiceTime) != r.Deadline)
		case kind.QueueTimeout:
			require.GreaterOrEqual(m.t, waited, m.config.QueueTimeout)
		}
	}
	require.LessOrEqual(m.t, len(m.waiting), m.config.MaxWaiting)
	require.False(m.t, len(m.waiting) > 0 && len(m.running) < m.limit, "a slot is free while a request waits")
}

// Guards against a sequence of operations in which a request is refused while a
// less important one waits, admitted while a more important one waits, started
// too late for its deadline, kept beyond its expiry, lost, or admitted above the
// limit.
func TestStrictPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{MaxWaiting: rapid.IntRange(1, 12).Draw(t, "max-waiting"), QueueTimeout: time.Duration(rapid.IntRange(1, 300).Draw(t, "timeout")) * time.Millisecond}
		m := &referenceModel{t: t, limit: rapid.IntRange(0, 4).Draw(t, "limit"), config: config, waiting: map[ID]Request{}, arrived: map[ID]int{}, running: map[ID]bool{}}
		q := NewQueue(config, m.limit, at(0))
		now := 0
		for id := range ID(rapid.IntRange(1, 150).Draw(t, "steps")) {
			m.arriving = 0
			id++ // 0 means no request.
			now += rapid.SampledFrom([]int{0, 0, 1, 5, 40}).Draw(t, "ms")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				m.apply(now, q.Expire(at(now)))
				require.Len(t, m.waiting, q.Stats(at(now)).Waiting)
			case 1:
				m.limit = rapid.IntRange(0, 4).Draw(t, "limit")
				m.apply(now, q.SetLimit(at(now), m.limit))
			case 2:
				victim := ID(rapid.IntRange(0, int(id)).Draw(t, "victim"))
				delete(m.waiting, victim)
				delete(m.running, victim)
				m.apply(now, q.Cancel(at(now), victim))
			case 3, 4, 5:
				for victim := range id + 1 {
					if m.running[victim] {
						delete(m.running, victim)
						m.apply(now, q.Release(at(now), victim))
						break
					}
				}
			default:
				r := Request{ID: id, Rank: MakeRank(rapid.IntRange(0, 3).Draw(t, "importance"), rapid.Bool().Draw(t, "admitted"), uint8(rapid.IntRange(0, 3).Draw(t, "level"))),
					ServiceTime: time.Duration(rapid.IntRange(0, 30).Draw(t, "service")) * time.Millisecond}
				if rapid.Bool().Draw(t, "has-deadline") {
					r.Deadline = at(now + rapid.IntRange(-5, 300).Draw(t, "deadline"))
				}
				m.offer(now, r)
				m.apply(now, q.Offer(at(now), r))
			}
			if next, ok := q.NextExpiry(); ok {
				require.True(t, next.After(at(m.lastCall)), "a request waits beyond its time")
			}
		}
	})
}

// Guards against old requests that are served while new ones time out: a standing
// queue serves the newest of a rank first and evicts the oldest.
func TestStandingQueueServesNewestFirst(t *testing.T) {
	q := NewQueue(Config{MaxWaiting: 3, QueueTimeout: time.Second}, 1, at(0))
	rank := MakeRank(3, false, 0)
	for id := range ID(4) {
		q.Offer(at(int(id)), Request{ID: id, Rank: rank})
	}
	require.Equal(t, "4:shed ", outcomes(q.Offer(at(10), Request{ID: 4, Rank: rank})))
	require.Equal(t, "1: ", outcomes(q.Release(at(99), 0)), "oldest first until the queue is standing")
	require.Empty(t, q.Offer(at(100), Request{ID: 5, Rank: rank}))
	require.Equal(t, "2:shed ", outcomes(q.Offer(at(102), Request{ID: 6, Rank: rank})))
	require.Equal(t, "6: ", outcomes(q.Release(at(103), 1)))
	require.Equal(t, "5: ", outcomes(q.Release(at(103), 6)))
	require.Equal(t, "3: ", outcomes(q.Release(at(103), 5)))
	q.Offer(at(104), Request{ID: 7, Rank: rank})
	q.Offer(at(105), Request{ID: 8, Rank: rank})
	require.Equal(t, "7: ", outcomes(q.Release(at(106), 3)), "the queue was empty, so it is not standing")
}

// Guards against an important request that times out while less important ones,
// which it should have evicted, stay in the queue.
func TestQueueTimeoutShedsLessImportantFirst(t *testing.T) {
	q := NewQueue(Config{QueueTimeout: 100 * time.Millisecond}, 1, at(0))
	for id, importance := range []int{0, 1, 1, 5, 9} {
		q.Offer(at(id), Request{ID: ID(id), Rank: MakeRank(importance, false, 0)})
	}
	require.Equal(t, "4:shed 3:shed 1:queue-timeout ", outcomes(q.Expire(at(101))))
	require.Equal(t, "2: ", outcomes(q.Release(at(101), 0)))
}

func TestRankOrder(t *testing.T) {
	require.Equal(t, MinRank, MakeRank(-1, true, 0))
	require.Equal(t, MaxRank, MakeRank(99, false, 255))
	require.Less(t, MakeRank(1, false, 127), MakeRank(2, true, 0))
	require.Less(t, MakeRank(1, true, 127), MakeRank(1, false, 0))
	require.Equal(t, 7, MakeRank(7, false, 3).Importance())
	require.Equal(t, "7/fresh/3", MakeRank(7, false, 3).String())
	require.False(t, MaxRank.RefusedAt(0))
	require.True(t, Rank(9).RefusedAt(8))
	require.False(t, Rank(8).RefusedAt(8))
}

// simulateLoad offers Poisson arrivals of two classes, from one time in ms to
// another, to a target with 20 slots and a service time of 20 ms. If followLevel
// is set, callers do not send requests above the level, as entry nodes do, except
// for every 50th.
func simulateLoad(q *Queue, rng *rand.Rand, from, to int, rate float64, followLevel bool, observe func(ms int, level Rank)) (served, sent int) {
	type completion struct {
		us int
		id ID
	}
	var completions []completion // In order, since the service time is constant.
	atMicros := func(us int) time.Time { return epoch.Add(time.Duration(us) * time.Microsecond) }
	start := func(us int, decisions []Decision) {
		for _, d := range decisions {
			if d.Admitted() {
				served++
				completions = append(completions, completion{us + 20_000, d.ID})
			}
		}
	}
	next, us := from*1000, from*1000
	for id := ID(from) << 32; us < to*1000; {
		if len(completions) > 0 && completions[0].us <= next {
			us = completions[0].us
			done := completions[0].id
			completions = completions[1:]
			start(us, q.Release(atMicros(us), done))
			continue
		}
		us = next
		id++
		next += max(int(rng.ExpFloat64()*1e6/rate), 1)
		r := Request{ID: id, Rank: MakeRank(2+5*rng.IntN(2), false, uint8(rng.IntN(ChainLevels)))}
		level := q.Level(atMicros(us))
		observe(us/1000, level)
		if followLevel && r.Rank.RefusedAt(level) && id%50 != 0 {
			continue
		}
		sent++
		start(us, q.Offer(atMicros(us), r))
	}
	for _, c := range completions {
		q.Release(atMicros(c.us), c.id)
	}
	return served, sent
}

// Guards against a level that oscillates, that wastes capacity when callers follow
// it, that lets them send many requests that are then refused, or that stays low
// after an overload. The target serves 1,000 requests per second; half of the
// offered ones are of importance 2, the others of importance 7.
func TestLevelDuringAndAfterOverload(t *testing.T) {
	for _, rate := range []float64{1200, 1500, 2000, 4000} {
		rng := rand.New(rand.NewPCG(1, 2))
		q := NewQueue(Config{}, 20, at(0))
		served, sent := simulateLoad(q, rng, 0, 5000, 800, true, func(int, Rank) {})
		require.Equal(t, sent, served)
		require.Equal(t, MaxRank, q.Level(at(5000)), "below capacity nothing is refused")

		changes, last := 0, MaxRank
		lowest, highest := MaxRank, MinRank
		served, sent = simulateLoad(q, rng, 5000, 15000, rate, true, func(ms int, level Rank) {
			if ms > 6000 {
				lowest, highest = min(lowest, level), max(highest, level)
				if level != last {
					changes++
				}
			}
			last = level
		})
		t.Logf("%.0f/s: served %d of a capacity of 10000, sent %d of %.0f, level %s to %s, %d changes in 9 s", rate, served, sent, 10*rate, lowest, highest, changes)
		require.GreaterOrEqual(t, served, 9500)
		require.LessOrEqual(t, sent, 12500)
		if rate < 2000 {
			require.Greater(t, lowest.Importance(), 2, "the important class is within capacity")
		}
		require.LessOrEqual(t, changes, 60)

		q.Expire(at(15300))
		require.Equal(t, MaxRank, q.Level(at(16600)), "an empty queue raises the level within 1.6 s")
	}
}

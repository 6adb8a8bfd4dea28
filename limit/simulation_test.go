package limit

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

// rule is a way to set the limit.
type rule interface {
	Observe(now time.Time, s Sample)
	Tick(now time.Time)
	Limit() int
}

const ms = time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

// fake is a target behind a priority queue with open-loop Poisson arrivals.
type fake struct {
	slots int
	// workers is how many requests run at once; more wait inside the target.
	workers func(t time.Duration) int
	service func(t time.Duration) time.Duration
	rate    func(t time.Duration) float64
	// spread 1 gives exponentially distributed service times, 0 constant ones.
	spread float64
	// bound makes the target refuse what exceeds it, if positive.
	bound int
	// fault is the share of requests that the target refuses whatever its load.
	fault float64
	// contention makes each request above the workers slow down all of them.
	contention bool
	// cancels makes the target stop a request whose caller has given up.
	cancels bool
	// expected is the service time that the queue assumes.
	expected, deadline time.Duration
	length             time.Duration
}

func constant[T any](v T) func(time.Duration) T { return func(time.Duration) T { return v } }

// during returns changed in the slow phase and normal outside.
func during[T any](normal, changed T) func(time.Duration) T {
	return func(t time.Duration) T {
		if t >= slowFrom && t < slowTo {
			return changed
		}
		return normal
	}
}

const (
	slowFrom = 10 * time.Second
	slowTo   = 20 * time.Second
)

// base is a target with 50 slots that it can serve at 20 ms each, offered 1.5
// times its capacity of 2,500 requests per second.
func base() fake {
	return fake{slots: 50, workers: constant(50), service: constant(20 * ms), rate: constant(3750.0), spread: 0.5, expected: 20 * ms, deadline: 150 * ms, length: 30 * time.Second}
}

type job struct {
	arrived, began time.Duration
	state          int
}

const (
	jobInside = iota
	jobRunning
	jobDone
	jobGone
)

type event struct {
	at   time.Duration
	what int
	id   admission.ID
}

const (
	evArrival = iota
	evTick
	evFinish
	evTimeout
)

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// result holds, per 100 ms, the good responses and the limit.
type result struct {
	good, limits []float64
	latencies    []time.Duration
	f            fake
}

func (f fake) run(r rule, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	res := result{f: f, good: make([]float64, f.length/(100*ms)), limits: make([]float64, f.length/(100*ms))}
	q := admission.NewQueue(admission.Config{QueueTimeout: 50 * ms}, r.Limit(), epoch)
	jobs := map[admission.ID]*job{}
	var agenda events
	var inside []admission.ID
	running, inFlight := 0, 0
	var now time.Duration
	var start func([]admission.Decision)
	fill := func() {
		for running < f.workers(now) && len(inside) > 0 {
			id := inside[0]
			inside = inside[1:]
			j := jobs[id]
			if j.state == jobGone {
				delete(jobs, id)
				continue
			}
			j.state = jobRunning
			running++
			s := float64(f.service(now)) * (1 - f.spread + f.spread*rng.ExpFloat64())
			if over := float64(len(inside)+running) / float64(f.workers(now)); f.contention && over > 1 {
				s *= over
			}
			heap.Push(&agenda, event{now + time.Duration(s), evFinish, id})
		}
	}
	end := func(id admission.ID, s Sample) {
		s.InFlight = inFlight
		inFlight--
		r.Observe(epoch.Add(now), s)
		d := q.SetLimit(epoch.Add(now), r.Limit())
		start(append(d, q.Release(epoch.Add(now), id)...))
	}
	start = func(decisions []admission.Decision) {
		for _, d := range decisions {
			if !d.Admitted() {
				delete(jobs, d.ID)
				continue
			}
			inFlight++
			j := jobs[d.ID]
			j.began = now
			if f.bound > 0 && len(inside)+running >= f.bound || rng.Float64() < f.fault {
				delete(jobs, d.ID)
				// The refusal takes a moment, so that it ends as an event of its own.
				jobs[d.ID] = &job{arrived: j.arrived, began: now, state: jobDone}
				heap.Push(&agenda, event{now + ms, evTimeout, d.ID})
				continue
			}
			inside = append(inside, d.ID)
			heap.Push(&agenda, event{j.arrived + f.deadline, evTimeout, d.ID})
		}
		fill()
	}
	heap.Push(&agenda, event{0, evArrival, 0})
	heap.Push(&agenda, event{0, evTick, 0})
	for next := admission.ID(1); ; {
		e := heap.Pop(&agenda).(event)
		now = e.at
		if now >= f.length {
			return res
		}
		j := jobs[e.id]
		switch {
		case e.what == evArrival:
			next++
			jobs[next] = &job{arrived: now}
			heap.Push(&agenda, event{now + time.Duration(rng.ExpFloat64()/f.rate(now)*1e9), evArrival, 0})
			start(q.Offer(epoch.Add(now), admission.Request{ID: next, Rank: admission.MakeRank(rng.IntN(4), false, uint8(rng.IntN(128))), ServiceTime: f.expected, Deadline: epoch.Add(now + f.deadline)}))
		case e.what == evTick:
			r.Tick(epoch.Add(now))
			start(q.SetLimit(epoch.Add(now), r.Limit()))
			res.limits[now/(100*ms)] = float64(r.Limit())
			heap.Push(&agenda, event{now + TickInterval, evTick, 0})
		case e.what == evFinish:
			if j == nil {
				continue // It was cancelled.
			}
			running--
			state := j.state
			delete(jobs, e.id)
			if state == jobRunning {
				res.good[now/(100*ms)]++
				res.latencies = append(res.latencies, now-j.began)
				end(e.id, Sample{Latency: now - j.began})
			}
			fill()
		case j == nil || j.state == jobGone:
		case j.state == jobDone:
			delete(jobs, e.id)
			end(e.id, Sample{Latency: ms, Refused: true})
		default: // The caller gives up; without cancellation the request runs on.
			if j.state == jobRunning && f.cancels {
				running--
				delete(jobs, e.id)
			}
			j.state = jobGone
			end(e.id, Sample{Latency: now - j.began, TimedOut: true})
		}
	}
}

// best is the goodput per 100 ms that the target could reach.
func (f fake) best(t time.Duration) float64 {
	capacity := float64(f.workers(t)) / f.service(t).Seconds()
	return min(capacity, f.rate(t)) / 10
}

// share is the goodput from one time to another as a share of the best.
func (r result) share(from, to time.Duration) float64 {
	good, best := 0.0, 0.0
	for i := from / (100 * ms); i < to/(100*ms); i++ {
		good += r.good[i]
		best += r.f.best(i * 100 * ms)
	}
	return good / best
}

// recovery is the time from the end of the slow phase until the goodput of half
// a second reaches 95% of what it was before, or -1.
func (r result) recovery() time.Duration {
	before := r.share(slowFrom-3*time.Second, slowFrom)
	for t := time.Duration(slowTo); t+500*ms <= r.f.length; t += 100 * ms {
		if r.share(t, t+500*ms) >= 0.95*before {
			return t - slowTo
		}
	}
	return -1
}

func (r result) limit(from, to time.Duration) (lowest, mean, last float64) {
	part := r.limits[from/(100*ms) : to/(100*ms)]
	for _, l := range part {
		mean += l / float64(len(part))
	}
	return slices.Min(part), mean, part[len(part)-1]
}

func (r result) p95() time.Duration {
	slices.Sort(r.latencies)
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[len(r.latencies)*95/100]
}

package limitsim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/limit"
)

// queueTimeout is the wait in front of the target, and refusalTime how long the
// target takes to refuse.
const (
	queueTimeout = 50 * time.Millisecond
	refusalTime  = time.Millisecond
)

type jobState int

const (
	inside jobState = iota
	running
	calling
	refused
	gone
)

type job struct {
	arrived, began time.Duration
	// own is the target's own time, once it is known.
	own   time.Duration
	state jobState
}

// run is the state of one simulation.
type run struct {
	target  Target
	rule    Rule
	rng     *rand.Rand
	result  Result
	queue   *admission.Queue
	jobs    map[admission.ID]*job
	agenda  agenda
	waiting []admission.ID
	// running counts busy workers, inFlight the requests that hold a slot.
	running, inFlight int
	now               time.Duration
}

var epoch = time.Unix(1_700_000_000, 0)

// Epoch is the time at which every run starts.
func Epoch() time.Time { return epoch }

// Run simulates the target under a rule. The same seed gives the same result.
func (f Target) Run(rule Rule, seed uint64) Result {
	r := &run{target: f, rule: rule, rng: rand.New(rand.NewPCG(seed, 1)), jobs: map[admission.ID]*job{},
		result: Result{target: f, good: make([]float64, f.Length/bucket), Limits: make([]float64, f.Length/bucket)},
		queue:  admission.NewQueue(admission.Config{QueueTimeout: queueTimeout}, rule.Limit(), epoch)}
	r.agenda.add(0, arrival, 0)
	r.agenda.add(0, tick, 0)
	for last := admission.ID(0); ; {
		e := heap.Pop(&r.agenda).(event)
		if r.now = e.at; r.now >= f.Length {
			return r.result
		}
		switch e.kind {
		case arrival:
			last++
			r.arrive(last)
		case tick:
			rule.Tick(r.time())
			r.start(r.queue.SetLimit(r.time(), rule.Limit()))
			r.result.Limits[r.now/bucket] = float64(rule.Limit())
			r.agenda.add(r.now+limit.TickInterval, tick, 0)
		case finish:
			r.finish(e.id)
		case leave:
			r.leave(e.id)
		case giveUp:
			r.giveUp(e.id)
		}
	}
}

func (r *run) time() time.Time { return epoch.Add(r.now) }

func (r *run) arrive(id admission.ID) {
	r.jobs[id] = &job{arrived: r.now}
	r.agenda.add(r.now+time.Duration(r.rng.ExpFloat64()/r.target.Rate(r.now)*1e9), arrival, 0)
	rank := admission.MakeRank(r.rng.IntN(4), false, uint8(r.rng.IntN(admission.ChainLevels)))
	r.start(r.queue.Offer(r.time(), admission.Request{ID: id, Rank: rank, ServiceTime: r.target.Expected, Deadline: r.time().Add(r.target.Deadline)}))
}

// start sends the admitted requests to the target.
func (r *run) start(decisions []admission.Decision) {
	for _, d := range decisions {
		if !d.Admitted() {
			delete(r.jobs, d.ID)
			continue
		}
		r.inFlight++
		j := r.jobs[d.ID]
		j.began = r.now
		full := r.target.Bound > 0 && len(r.waiting)+r.running >= r.target.Bound
		if full || r.rng.Float64() < r.target.Fault {
			j.state = refused
			r.agenda.add(r.now+refusalTime, giveUp, d.ID)
			continue
		}
		r.waiting = append(r.waiting, d.ID)
		r.agenda.add(j.arrived+r.target.Deadline, giveUp, d.ID)
	}
	r.fill()
}

// fill gives waiting requests to free workers.
func (r *run) fill() {
	workers := r.target.Workers(r.now)
	for r.running < workers && len(r.waiting) > 0 {
		id := r.waiting[0]
		r.waiting = r.waiting[1:]
		j := r.jobs[id]
		if j.state == gone {
			delete(r.jobs, id)
			continue
		}
		j.state = running
		r.running++
		s := float64(r.target.Service(r.now)) * (1 - r.target.Spread + r.target.Spread*r.rng.ExpFloat64())
		if over := float64(len(r.waiting)+r.running) / float64(workers); r.target.Contention && over > 1 {
			s *= over
		}
		r.agenda.add(r.now+time.Duration(s), finish, id)
	}
}

func (r *run) finish(id admission.ID) {
	j := r.jobs[id]
	if j == nil {
		return // It was cancelled.
	}
	r.running--
	if j.state == running {
		j.state, j.own = calling, r.now-j.began
		if r.target.SubCalls == nil {
			r.leave(id)
		} else {
			r.agenda.add(r.now+r.target.SubCalls(r.now), leave, id)
		}
	} else {
		delete(r.jobs, id)
	}
	r.fill()
}

// leave ends a request with a good response.
func (r *run) leave(id admission.ID) {
	j := r.jobs[id]
	if j == nil {
		return
	}
	delete(r.jobs, id)
	r.result.good[r.now/bucket]++
	r.result.latencies = append(r.result.latencies, r.now-j.began)
	r.end(id, limit.Sample{Latency: j.own, Total: r.now - j.began})
}

// giveUp ends a request without a good response.
func (r *run) giveUp(id admission.ID) {
	j := r.jobs[id]
	if j == nil || j.state == gone {
		return
	}
	if j.state == refused {
		delete(r.jobs, id)
		r.end(id, limit.Sample{Latency: refusalTime, Refused: true})
		return
	}
	if j.state == calling {
		delete(r.jobs, id)
		r.end(id, limit.Sample{Latency: j.own, Total: r.now - j.began, TimedOut: true})
		return
	}
	if j.state == running && r.target.Cancels {
		r.running--
		delete(r.jobs, id)
	}
	// Without cancellation the request runs on.
	j.state = gone
	r.end(id, limit.Sample{Latency: r.now - j.began, TimedOut: true})
}

// end releases the slot of a request.
func (r *run) end(id admission.ID, s limit.Sample) {
	s.InFlight = r.inFlight
	r.inFlight--
	r.rule.Observe(r.time(), s)
	decisions := r.queue.SetLimit(r.time(), r.rule.Limit())
	r.start(append(decisions, r.queue.Release(r.time(), id)...))
}

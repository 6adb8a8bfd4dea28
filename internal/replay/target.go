package replay

import (
	"net/http"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/routing"
)

// failFast is the time in which a target that lies about its health answers
// with status 500.
const failFast = time.Millisecond

// leavingBound is the time after which a target that leaves gets no new work.
const leavingBound = 3 * time.Second

// target is the fake of a target: slots, an internal queue, service times,
// sub-calls and an effect counter, which is in the ledger.
type target struct {
	w       *world
	service *Service
	id      string
	ordinal int
	index   int
	domain  string
	state   routing.State
	// stateSince is when the target announced its state.
	stateSince time.Time

	running []*job
	waiting []*job

	coldSince  time.Time
	coldFactor float64
	lies       bool
	lieFactor  float64
}

// alive reports whether the process runs.
func (t *target) alive() bool { return t.state != routing.Down }

func (t *target) setState(s routing.State) {
	t.state, t.stateSince = s, t.w.now
	t.w.sys.stateChanged(t)
}

// begin starts the process cold: its service time is factor times the normal
// one at first.
func (t *target) begin(factor float64) {
	t.setState(routing.Starting)
	t.w.after(startingTime, func() {
		t.coldSince, t.coldFactor = t.w.now, factor
		t.setState(routing.Ready)
	})
}

// serve runs a job, or queues it while all slots are in use.
func (t *target) serve(j *job) {
	if len(t.running) >= t.service.Slots {
		t.waiting = append(t.waiting, j)
		return
	}
	t.running = append(t.running, j)
	t.start(j)
}

func (t *target) start(j *job) {
	if j.op == j.attempt.request.op {
		j.attempt.executed = true
	}
	if t.state == routing.Draining && t.w.now.Sub(t.stateSince) > leavingBound {
		t.w.ledger.workAfterDrain++
	}
	if t.lies && t.lieFactor == 0 {
		j.timer = t.w.after(failFast, func() { t.finish(j, reply{status: http.StatusInternalServerError}) })
		return
	}
	own := time.Duration(j.op.OwnMS * t.factor() * (0.5 + t.w.fraction(j.op.Name, j.attempt.request.id)) * float64(time.Millisecond))
	if j.op.Crash {
		j.timer = t.w.after(own/2, t.die)
		return
	}
	j.timer = t.w.after(own, func() { t.next(j, 0) })
}

// factor is the multiple of the normal service time at present.
func (t *target) factor() float64 {
	f := 1.0
	if s, ok := t.w.slow[t.service.Name]; ok {
		f = s
	}
	if t.lies {
		f *= t.lieFactor
	}
	if cold := ms(t.service.ColdStartMS); !t.coldSince.IsZero() && t.w.now.Before(t.coldSince.Add(cold)) {
		left := 1 - float64(t.w.now.Sub(t.coldSince))/float64(cold)
		f *= 1 + (t.coldFactor-1)*left
	}
	return f
}

// next makes sub-call number i, or ends the job after the last one.
func (t *target) next(j *job, i int) {
	j.timer = nil
	if i == len(j.op.Calls) {
		if j.op.NonIdempotent {
			t.w.ledger.effects[j.op.Name+"/"+j.attempt.request.key]++
		}
		t.finish(j, reply{status: http.StatusOK, body: j.attempt.request.body(j.op)})
		return
	}
	op := t.w.head.operation(j.op.Calls[i])
	j.cancelCall = t.w.sys.subCall(j, op, func(p reply) {
		j.cancelCall = nil
		switch {
		case j.over:
		case p.status != http.StatusOK:
			// The effect of an operation comes after its sub-calls.
			t.finish(j, reply{status: http.StatusBadGateway, noEffect: true})
		case p.body != j.attempt.request.body(op):
			t.w.ledger.wrong++
			t.finish(j, reply{status: http.StatusBadGateway})
		default:
			t.next(j, i+1)
		}
	})
}

func (t *target) finish(j *job, p reply) {
	j.over = true
	t.free(j)
	j.done(p)
}

// cancel ends a job without a response, as when its caller has left.
func (t *target) cancel(j *job) {
	if j.over {
		return
	}
	j.stop()
	t.free(j)
}

func (t *target) free(j *job) {
	if i := slices.Index(t.waiting, j); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return
	}
	i := slices.Index(t.running, j)
	t.running = slices.Delete(t.running, i, i+1)
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.running = append(t.running, next)
		t.start(next)
	}
}

// die ends the process with all its jobs and starts it again.
func (t *target) die() {
	t.w.ledger.crashes[t.id]++
	t.leave()
	t.w.after(restartTime, func() { t.begin(coldAfterCrash) })
}

// leave ends the process with all its jobs.
func (t *target) leave() {
	jobs := slices.Concat(t.running, t.waiting)
	t.running, t.waiting = nil, nil
	t.state = routing.Down
	for _, j := range jobs {
		j.stop()
	}
	// The system refuses what waits first, so that nothing takes the place of
	// the lost jobs.
	t.w.sys.died(t)
	for _, j := range jobs {
		j.lost()
	}
}

// coldAfterCrash is the factor of the service time right after a restart.
const coldAfterCrash = 3

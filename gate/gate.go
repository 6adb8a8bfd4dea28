// Package gate runs the admission queue and the concurrency limit of one target
// behind a lock and a timer.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/limit"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/pressure"
)

// maxServiceShare bounds the expected service time to this part of the time
// left. After a series of timeouts the expectation reaches the deadline; without
// the bound every request would be refused, and none could correct it.
const maxServiceShare = 2

// heldWeight is the weight of one request in the mean time that a slot is taken.
const heldWeight = 0.02

// Gate runs the admission queue and the concurrency limit of the target beside
// the node. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	limiter *limit.Limiter
	// waiting holds the channel of each request without a decision.
	waiting map[admission.ID]chan admission.Decision
	// importance holds that of each request that waits or runs, and
	// byImportance how many there are of each.
	importance   map[admission.ID]int
	byImportance [policy.MaxImportance + 1]uint32
	nextID       admission.ID
	// timer runs tick, at nextTick or when the first waiting time is up.
	timer    *time.Timer
	nextTick time.Time
	// control bounds what new chains may send towards the target.
	control *pressure.Controller
	// inForce is the cutoff that the starts of chains apply.
	inForce pressure.Cutoff
	// started is when the running requests took their slots, held the mean time
	// for which a slot is taken, in seconds.
	started     map[admission.ID]time.Time
	held        float64
	heldSamples int
}

// New returns a gate with one slot.
func New(now time.Time) *Gate {
	g := &Gate{
		limiter:    limit.New(limit.Config{Slots: 1, MinLimit: 1}, now),
		waiting:    map[admission.ID]chan admission.Decision{},
		importance: map[admission.ID]int{},
	}
	g.queue = admission.NewQueue(admission.Config{}, 1, now)
	g.control = pressure.NewController(now)
	g.inForce = pressure.AdmitAll
	g.started = map[admission.ID]time.Time{}
	g.nextTick = now.Add(limit.TickInterval)
	// The first tick may come before this function returns.
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(limit.TickInterval, g.tick)
	return g
}

// Configure replaces the bounds.
func (g *Gate) Configure(now time.Time, c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Configure(now, limit.Config{Slots: c.Slots, MinLimit: c.MinLimit, ColdStart: c.ColdStart})
	g.settleLocked(now, g.queue.Configure(now, admission.Config{QueueTimeout: c.QueueTimeout}))
	g.settleLocked(now, g.queue.SetLimit(now, g.limiter.Limit()))
}

// TargetStarted begins the cold start ramp.
func (g *Gate) TargetStarted(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.TargetStarted(now)
	g.settleLocked(now, g.queue.SetLimit(now, g.limiter.Limit()))
}

// Reported applies what the target says about its own capacity.
func (g *Gate) Reported(now time.Time, r limit.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.ObserveReport(now, r)
	g.settleLocked(now, g.queue.SetLimit(now, g.limiter.Limit()))
}

// Acquire waits for a slot. The error has run state not-run.
func (g *Gate) Acquire(ctx context.Context, r Request) (admission.ID, *kind.Error) {
	now := time.Now()
	decided := make(chan admission.Decision, 1)
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	g.waiting[id] = decided
	g.importance[id] = r.Rank.Importance()
	g.byImportance[r.Rank.Importance()]++
	g.settleLocked(now, g.queue.Offer(now, admission.Request{
		ID: id, Rank: r.Rank, Deadline: r.Deadline, ServiceTime: min(g.limiter.ServiceTime(), r.Deadline.Sub(now)/maxServiceShare),
		MaxWait: r.MaxWait,
	}))
	if !r.Repeat {
		g.control.RecordArrival(r.Rank.Importance())
	}
	g.mu.Unlock()

	select {
	case d := <-decided:
		return id, d.Err()
	case <-ctx.Done():
		g.cancel(id)
		return id, kind.New(kind.Canceled, "the caller left while the request was waiting").WithRun(kind.NotRun)
	}
}

// cancel withdraws a request, whether it still waits or has just got a slot.
func (g *Gate) cancel(id admission.ID) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	delete(g.started, id)
	g.forgetLocked(id)
	g.settleLocked(now, g.queue.Cancel(now, id))
}

// Release gives a slot back and records how the request went; a nil sample
// records nothing.
func (g *Gate) Release(id admission.ID, sample *limit.Sample) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if began, ok := g.started[id]; ok {
		delete(g.started, id)
		if sample != nil && !sample.Refused {
			// The first requests are a plain mean; a rising mean from 0 would take a
			// target that has just started for a fast one.
			g.heldSamples++
			g.held += max(heldWeight, 1/float64(g.heldSamples)) * (now.Sub(began).Seconds() - g.held)
		}
	}
	if sample != nil {
		sample.InFlight = g.queue.Stats(now).Running
		g.limiter.Observe(now, *sample)
	}
	g.forgetLocked(id)
	g.settleLocked(now, g.queue.Release(now, id))
	g.settleLocked(now, g.queue.SetLimit(now, g.limiter.Limit()))
}

// capacityLocked returns how many requests per second a number of slots serves.
func (g *Gate) capacityLocked(slots int) float64 {
	if g.held <= 0 {
		return 0
	}
	return float64(slots) / g.held
}

// SetInForce tells the gate the cutoff that the starts of chains apply.
func (g *Gate) SetInForce(c pressure.Cutoff) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inForce = c
}

// forgetLocked takes a request that neither waits nor runs out of the counts.
func (g *Gate) forgetLocked(id admission.ID) {
	if importance, ok := g.importance[id]; ok {
		g.byImportance[importance]--
		delete(g.importance, id)
	}
}

// Stats returns the state of the queue and of the limiter.
func (g *Gate) Stats() (admission.Stats, limit.State) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Stats(now), g.limiter.State()
}

// Load returns the load that is reported to callers.
func (g *Gate) Load() *message.Load {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := g.queue.Stats(now)
	reported := len(g.byImportance)
	for reported > 0 && g.byImportance[reported-1] == 0 {
		reported--
	}
	return &message.Load{
		Running: uint32(stats.Running), Waiting: uint32(stats.Waiting), Limit: uint32(stats.Limit),
		Level: uint32(stats.Level), Cutoff: float64(g.control.Cutoff()), ServiceTime: g.limiter.ServiceTime(),
		ByImportance: append([]uint32(nil), g.byImportance[:reported]...),
	}
}

// Cutoff returns what new chains may send towards the target.
func (g *Gate) Cutoff() pressure.Cutoff {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.Cutoff()
}

// Demand returns the requests per second that arrive, and that the target serves
// when all slots are in use; 0 means unknown.
func (g *Gate) Demand() (arrivals, capacity float64) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.ArrivalRate(pressure.ImportanceLevels), g.capacityLocked(g.queue.Stats(now).Limit)
}

// Level returns the admission level.
func (g *Gate) Level() admission.Rank {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Level(time.Now())
}

// tick runs the time-driven parts of queue and limiter.
func (g *Gate) tick() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !now.Before(g.nextTick) {
		g.nextTick = now.Add(limit.TickInterval)
		g.limiter.Tick(now)
		stats := g.queue.Stats(now)
		g.control.Tick(now, pressure.Input{
			Capacity: g.capacityLocked(stats.Limit), Slots: stats.Limit, Waiting: stats.Waiting, AppliedCutoff: g.inForce,
		})
	}
	g.settleLocked(now, g.queue.Expire(now))
	g.settleLocked(now, g.queue.SetLimit(now, g.limiter.Limit()))
}

// settleLocked hands decisions to the requests that wait for them and sets the
// timer for the next expiry.
func (g *Gate) settleLocked(now time.Time, decisions []admission.Decision) {
	for _, d := range decisions {
		if decided := g.waiting[d.ID]; decided != nil {
			decided <- d
			delete(g.waiting, d.ID)
			if d.Admitted() {
				g.started[d.ID] = time.Now()
			}
			if !d.Admitted() {
				g.forgetLocked(d.ID)
			}
		}
	}
	// Requests that arrive must not put off the next tick.
	wake := g.nextTick
	if next, ok := g.queue.NextExpiry(); ok && next.Before(wake) {
		wake = next
	}
	g.timer.Reset(max(wake.Sub(now), 0))
}

// Close stops the timer.
func (g *Gate) Close() { g.timer.Stop() }

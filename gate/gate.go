// Package gate combines the admission queue, the concurrency limiter and the
// overload controller of one target, with the lock and the timer that they need.
package gate

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/limit"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/pressure"
)

// The time until the deadline divided by serviceTimeDivisor bounds the expected
// service time. After a series of timeouts the estimate reaches the deadline;
// without the bound every request would then be refused, and no sample could
// correct the estimate.
const serviceTimeDivisor = 2

// holdTimeWeight is the weight of one request in the mean time for which a slot
// is held.
const holdTimeWeight = 0.02

// Gate controls admission to the target that the node serves. It is safe for
// concurrent use.
type Gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	limiter *limit.Limiter
	// pending holds the channel of each request without a decision.
	pending map[admission.ID]chan admission.Decision
	// importance holds the importance of each request that waits or runs, and
	// byImportance the number of such requests per importance.
	importance   map[admission.ID]int
	byImportance [policy.MaxImportance + 1]uint32
	nextID       admission.ID
	// timer runs tick at nextTick or at the next expiry in the queue, whichever is
	// earlier.
	timer    *time.Timer
	nextTick time.Time
	// controller computes the cutoff for new chains that reach the target.
	controller *pressure.Controller
	// appliedCutoff is the cutoff that is currently applied to new chains.
	appliedCutoff pressure.Cutoff
	// started holds when each running request took its slot, meanHold the mean
	// time for which a slot is held, in seconds.
	started     map[admission.ID]time.Time
	meanHold    float64
	holdSamples int
	// rate is the number of requests per second that the target has announced to take,
	// 0 if it has not announced any.
	rate float64
}

// New returns a gate with one slot.
func New(now time.Time) *Gate {
	g := &Gate{
		limiter:    limit.New(limit.Config{Slots: 1, MinLimit: 1}, now),
		pending:    map[admission.ID]chan admission.Decision{},
		importance: map[admission.ID]int{},
	}
	g.queue = admission.NewQueue(admission.Config{}, 1, now)
	g.controller = pressure.NewController(now)
	g.appliedCutoff = pressure.AdmitAll
	g.started = map[admission.ID]time.Time{}
	g.nextTick = now.Add(limit.TickInterval)
	// The first tick may run before this function returns.
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
	g.deliverLocked(now, g.queue.Configure(now, admission.Config{QueueTimeout: c.QueueTimeout}))
	g.deliverLocked(now, g.queue.SetLimit(now, g.limiter.Limit()))
}

// TargetStarted starts the cold start ramp.
func (g *Gate) TargetStarted(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.TargetStarted(now)
	g.deliverLocked(now, g.queue.SetLimit(now, g.limiter.Limit()))
}

// Reset refuses the requests that wait and forgets what was learned of the target,
// since another one has replaced it whose service is different. The requests that the
// earlier target is still running take no slots of the new one. Reset returns the
// number of both.
func (g *Gate) Reset(now time.Time) (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	running, waiting = len(g.started), len(g.pending)
	for id, decided := range g.pending {
		decided <- admission.Decision{ID: id, Refused: kind.Starting}
	}
	clear(g.pending)
	clear(g.started)
	clear(g.importance)
	g.byImportance = [policy.MaxImportance + 1]uint32{}
	g.limiter = limit.New(limit.Config{Slots: 1, MinLimit: 1}, now)
	g.queue = admission.NewQueue(admission.Config{}, 1, now)
	g.controller = pressure.NewController(now)
	g.appliedCutoff = pressure.AdmitAll
	g.meanHold, g.holdSamples, g.rate = 0, 0, 0
	return running, waiting
}

// ObserveReport records what the target reports about its health and capacity.
func (g *Gate) ObserveReport(now time.Time, r limit.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.ObserveReport(now, r)
	g.deliverLocked(now, g.queue.SetLimit(now, g.limiter.Limit()))
}

// SetRate sets the number of requests per second that the target has announced to
// take; 0 removes that limit.
func (g *Gate) SetRate(now time.Time, perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if perSecond > 0 {
		perSecond = max(perSecond, admission.MinRatePerSecond)
	}
	g.rate = perSecond
	g.deliverLocked(now, g.queue.SetRate(now, perSecond))
}

// Acquire waits for a slot. An error has the run state not-run.
func (g *Gate) Acquire(ctx context.Context, r Request) (admission.ID, *kind.Error) {
	now := time.Now()
	decided := make(chan admission.Decision, 1)
	g.mu.Lock()
	g.nextID++
	id := g.nextID
	g.pending[id] = decided
	g.importance[id] = r.Rank.Importance()
	g.byImportance[r.Rank.Importance()]++
	g.deliverLocked(now, g.queue.Offer(now, admission.Request{
		ID: id, Rank: r.Rank, Deadline: r.Deadline, ServiceTime: min(g.limiter.ServiceTime(), r.Deadline.Sub(now)/serviceTimeDivisor),
		MaxWait: r.MaxWait, WaitForRate: r.WaitForRate,
	}))
	if !r.Repeat {
		g.controller.RecordArrival(r.Rank.Importance())
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

// cancel removes a request, whether it still waits or has just been admitted.
func (g *Gate) cancel(id admission.ID) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, id)
	delete(g.started, id)
	g.uncountLocked(id)
	g.deliverLocked(now, g.queue.Cancel(now, id))
}

// Release frees the slot of a request and records its sample; a nil sample
// records nothing.
func (g *Gate) Release(id admission.ID, sample *limit.Sample) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	start, holdsSlot := g.started[id]
	if holdsSlot {
		delete(g.started, id)
		if sample != nil && !sample.Refused {
			// The first requests are averaged with equal weights. A mean that rises
			// from 0 would make a target that has just started look fast.
			g.holdSamples++
			g.meanHold += max(holdTimeWeight, 1/float64(g.holdSamples)) * (now.Sub(start).Seconds() - g.meanHold)
		}
	}
	// A request without a slot ran at an earlier target.
	if sample != nil && holdsSlot {
		sample.InFlight = g.queue.Stats(now).Running
		g.limiter.Observe(now, *sample)
	}
	g.uncountLocked(id)
	g.deliverLocked(now, g.queue.Release(now, id))
	g.deliverLocked(now, g.queue.SetLimit(now, g.limiter.Limit()))
}

// capacityLocked returns the requests per second that the target takes with a number of
// slots, or 0 when unknown.
func (g *Gate) capacityLocked(slots int) float64 {
	if g.meanHold <= 0 {
		return g.rate
	}
	capacity := float64(slots) / g.meanHold
	if g.rate > 0 {
		return min(capacity, g.rate)
	}
	return capacity
}

// usedSlotsLocked returns the number of slots that are in use when the target takes
// all requests that its limits allow, one at least.
func (g *Gate) usedSlotsLocked(slots int) int {
	if g.rate == 0 || g.meanHold <= 0 {
		return slots
	}
	return min(slots, max(1, int(math.Round(g.rate*g.meanHold))))
}

// SetAppliedCutoff sets the cutoff that is currently applied to new chains.
func (g *Gate) SetAppliedCutoff(c pressure.Cutoff) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.appliedCutoff = c
}

// uncountLocked removes a request that neither waits nor runs from the counts by
// importance.
func (g *Gate) uncountLocked(id admission.ID) {
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
		Running: uint32(stats.Running), Waiting: uint32(stats.Waiting), Limit: uint32(g.usedSlotsLocked(stats.Limit)),
		Level: uint32(stats.Level), Cutoff: float64(g.controller.Cutoff()), ServiceTime: g.limiter.ServiceTime(),
		ByImportance: append([]uint32(nil), g.byImportance[:reported]...),
	}
}

// Cutoff returns the cutoff for new chains that reach the target.
func (g *Gate) Cutoff() pressure.Cutoff {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Cutoff()
}

// Demand returns the arriving requests per second, and the requests per second
// that the target serves when all slots are in use; 0 means unknown.
func (g *Gate) Demand() (arrivals, capacity float64) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.ArrivalRate(pressure.ImportanceLevels), g.capacityLocked(g.queue.Stats(now).Limit)
}

// Level returns the admission level.
func (g *Gate) Level() admission.Rank {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Level(time.Now())
}

// tick runs the time-driven parts of the queue, the limiter and the controller.
func (g *Gate) tick() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !now.Before(g.nextTick) {
		g.nextTick = now.Add(limit.TickInterval)
		g.limiter.Tick(now)
		stats := g.queue.Stats(now)
		g.controller.Tick(now, pressure.Input{
			Capacity: g.capacityLocked(stats.Limit), Slots: g.usedSlotsLocked(stats.Limit), Waiting: stats.Waiting, AppliedCutoff: g.appliedCutoff,
		})
	}
	g.deliverLocked(now, g.queue.Expire(now))
	g.deliverLocked(now, g.queue.SetLimit(now, g.limiter.Limit()))
}

// deliverLocked sends decisions to the requests that wait for them and sets the
// timer to the next tick or expiry.
func (g *Gate) deliverLocked(now time.Time, decisions []admission.Decision) {
	for _, d := range decisions {
		if decided := g.pending[d.ID]; decided != nil {
			decided <- d
			delete(g.pending, d.ID)
			if d.Admitted() {
				g.started[d.ID] = time.Now()
			}
			if !d.Admitted() {
				g.uncountLocked(d.ID)
			}
		}
	}
	// Arriving requests must not delay the next tick.
	wake := g.nextTick
	if next, ok := g.queue.NextExpiry(); ok && next.Before(wake) {
		wake = next
	}
	if next, ok := g.queue.NextAdmission(now); ok && next.Before(wake) {
		wake = next
	}
	g.timer.Reset(max(wake.Sub(now), 0))
}

// Close stops the timer.
func (g *Gate) Close() { g.timer.Stop() }

package mesh

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/pressure"
	"github.com/goldcrestsail/goldcrestsail/retry"
)

const (
	// budgetShare is the part of the stated ratio that first attempts earn. The
	// sub-calls of a repeated run count as repeats of the services below, and
	// windows slide, so a node stays well under the bound.
	budgetShare = 0.5
	// slackShare is the part of the stated slack that all nodes together may use
	// at once.
	slackShare = 0.5
	// reservedPerImportance is the part of the saved repeats that requests leave,
	// for each step down in importance, to more important ones.
	reservedPerImportance = 0.3
	maxReserved           = 0.9
	// rateInterval is how often what may be saved is computed anew, savedIntervals
	// the number of intervals whose earnings may be: those of the window before.
	rateInterval   = time.Second
	savedIntervals = 10
)

// budgets holds this node's part of the retry budget of each service. Nodes need
// no agreement: each has an equal part of the slack, and earns the ratio with
// its own requests.
type budgets struct {
	mu       sync.Mutex
	config   BudgetConfig
	nodes    int
	services map[string]*serviceBudget
}

func newBudgets(c BudgetConfig) *budgets {
	return &budgets{config: c, nodes: 1, services: map[string]*serviceBudget{}}
}

// parts returns this node's part for a service with some recent first attempts.
// What they have earned may be saved for one window: the bound of a window
// follows from its own requests or those of the window before, so half of the
// ratio can be spent from each.
func (b *budgets) parts(recent float64) retry.BudgetConfig {
	slack := b.config.Slack * slackShare / float64(max(b.nodes, 1))
	c := retry.BudgetConfig{Ratio: b.config.Ratio * budgetShare}
	c.Burst = slack + c.Ratio*recent
	if b.config.Window > 0 {
		c.MinRatePerSecond = slack / 2 / b.config.Window.Seconds()
	}
	return c
}

// configure replaces the bounds of all nodes together.
func (b *budgets) configure(now time.Time, c BudgetConfig) {
	b.change(now, func() { b.config = c })
}

// resize splits the slack among another number of nodes.
func (b *budgets) resize(now time.Time, nodes int) {
	b.change(now, func() { b.nodes = nodes })
}

// change brings the budgets of all services in line with changed bounds.
func (b *budgets) change(now time.Time, set func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	set()
	for _, s := range b.services {
		s.Configure(b.parts(s.sum()), now)
	}
}

func (b *budgets) ofLocked(now time.Time, service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{Budget: retry.NewBudget(b.parts(0), now), repeats: pressure.NewRepeats(now), measured: now}
		b.services[service] = s
	}
	return s
}

// attempt records a first attempt.
func (b *budgets) attempt(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.ofLocked(now, service)
	s.attempts++
	if elapsed := now.Sub(s.measured); elapsed >= rateInterval {
		passed := min(int(elapsed/rateInterval), savedIntervals)
		copy(s.recent[:], s.recent[passed:])
		clear(s.recent[savedIntervals-passed:])
		s.recent[savedIntervals-passed] = s.attempts
		s.attempts, s.measured = 0, now
		s.Configure(b.parts(s.sum()), now)
	}
	s.RecordAttempt(now)
}

// take reports whether a request may be repeated that runs so often at each
// service, and pays for it if so: the calls of a repeated run are repeats as
// well. Less important requests leave a part of what is saved to the others.
func (b *budgets) take(now time.Time, runs map[string]float64, importance int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, n := range runs {
		s := b.ofLocked(now, service)
		reserve := b.parts(s.sum()).Burst * min(reservedPerImportance*float64(importance), maxReserved)
		if s.Tokens(now) < max(n, 1)+reserve {
			return false
		}
	}
	for service, n := range runs {
		b.ofLocked(now, service).Consume(now, n)
	}
	return true
}

// answered records an attempt of a request that reached a target: the first one
// or a repeat, and whether the target refused it.
func (b *budgets) answered(now time.Time, service string, importance int, first, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.ofLocked(now, service)
	s.repeats.Answered(importance, first, refused)
	s.repeats.Tick(now, func() float64 { return s.supply(now, b.parts(s.sum())) })
}

// chosen reports whether a refused call of a chain at a position is sent again,
// as far as the budget lasts.
func (b *budgets) chosen(now time.Time, service string, position float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ofLocked(now, service).repeats.Cutoff().Admits(position)
}

// stateOf returns what is left of the budget of one service.
func (b *budgets) stateOf(now time.Time, service string) budgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ofLocked(now, service).state(now)
}

// state returns what is left of the budget of each service in use.
func (b *budgets) state(now time.Time) map[string]budgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]budgetState, len(b.services))
	for service, s := range b.services {
		all[service] = s.state(now)
	}
	return all
}

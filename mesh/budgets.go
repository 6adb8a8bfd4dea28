package mesh

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/pressure"
	"github.com/goldcrestsail/goldcrestsail/retry"
)

const (
	// earnedShare is the share of the configured ratio that first attempts
	// earn. The sub-calls of a retried request count as retries at the
	// downstream services, and windows overlap, so each node stays well below
	// the bound.
	earnedShare = 0.5
	// slackShare is the share of the configured slack that all nodes together
	// may spend at once.
	slackShare = 0.5
	// reservedShareStep is the share of the burst that is reserved for more
	// important requests, per step down in importance.
	reservedShareStep = 0.3
	maxReservedShare  = 0.9
	// rateInterval is how often the burst is recomputed. burstIntervals is the
	// number of past intervals whose earnings may be saved up, that is, one
	// window.
	rateInterval   = time.Second
	burstIntervals = 10
)

// budgets holds this node's share of the retry budget of each service. Nodes
// need no coordination: each has an equal share of the slack and earns the
// ratio with its own requests.
type budgets struct {
	mu        sync.Mutex
	config    RetryBudgetConfig
	nodeCount int
	services  map[string]*serviceBudget
}

func newBudgets(c RetryBudgetConfig) *budgets {
	return &budgets{config: c, nodeCount: 1, services: map[string]*serviceBudget{}}
}

// nodeConfig returns this node's token bucket for a service with the given
// number of recent first attempts. Their earnings may be saved for one window.
// A window's spending is then covered by its own requests or by those of the
// window before, which is why each may spend only half of the ratio.
func (b *budgets) nodeConfig(recentAttempts float64) retry.BudgetConfig {
	slack := b.config.Slack * slackShare / float64(max(b.nodeCount, 1))
	config := retry.BudgetConfig{Ratio: b.config.Ratio * earnedShare}
	config.Burst = slack + config.Ratio*recentAttempts
	if b.config.Window > 0 {
		config.MinRatePerSecond = slack / 2 / b.config.Window.Seconds()
	}
	return config
}

// configure replaces the bounds that apply to all nodes together.
func (b *budgets) configure(now time.Time, c RetryBudgetConfig) {
	b.update(now, func() { b.config = c })
}

// setNodeCount divides the slack among the given number of nodes.
func (b *budgets) setNodeCount(now time.Time, nodes int) {
	b.update(now, func() { b.nodeCount = nodes })
}

// update changes the bounds by apply and reconfigures the budgets of all
// services.
func (b *budgets) update(now time.Time, apply func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	apply()
	for _, s := range b.services {
		s.Configure(b.nodeConfig(s.totalRecentAttempts()), now)
	}
}

func (b *budgets) serviceLocked(now time.Time, service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{Budget: retry.NewBudget(b.nodeConfig(0), now), retrySelector: pressure.NewRetryController(now), intervalStart: now}
		b.services[service] = s
	}
	return s
}

// recordFirstAttempt adds what a first attempt earns.
func (b *budgets) recordFirstAttempt(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(now, service)
	s.firstAttempts++
	if elapsed := now.Sub(s.intervalStart); elapsed >= rateInterval {
		intervals := min(int(elapsed/rateInterval), burstIntervals)
		copy(s.recentAttempts[:], s.recentAttempts[intervals:])
		clear(s.recentAttempts[burstIntervals-intervals:])
		s.recentAttempts[burstIntervals-intervals] = s.firstAttempts
		s.firstAttempts, s.intervalStart = 0, now
		s.Configure(b.nodeConfig(s.totalRecentAttempts()), now)
	}
	s.RecordAttempt(now)
}

// trySpend spends the tokens for one retry and reports whether the budget
// allowed it. runs is the expected number of runs per service: the sub-calls of
// a retried request count as retries too. Less important requests leave a
// reserve to more important ones.
func (b *budgets) trySpend(now time.Time, runs map[string]float64, importance int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, n := range runs {
		s := b.serviceLocked(now, service)
		reserve := b.nodeConfig(s.totalRecentAttempts()).Burst * min(reservedShareStep*float64(importance), maxReservedShare)
		if s.Tokens(now) < max(n, 1)+reserve {
			return false
		}
	}
	for service, n := range runs {
		b.serviceLocked(now, service).Consume(now, n)
	}
	return true
}

// recordAnswer records an attempt that reached a target: whether it was the
// first attempt of the request, and whether the target refused it.
func (b *budgets) recordAnswer(now time.Time, service string, importance int, first, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(now, service)
	s.retrySelector.RecordAttempt(importance, first, refused)
	s.retrySelector.Tick(now, func() float64 { return s.retryRate(now, b.nodeConfig(s.totalRecentAttempts())) })
}

// admitsRetry reports whether a refused call of a chain at the given position
// may be retried. The budget must also have tokens for it.
func (b *budgets) admitsRetry(now time.Time, service string, position float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceLocked(now, service).retrySelector.Cutoff().Admits(position)
}

// serviceState returns the state of the retry budget of one service.
func (b *budgets) serviceState(now time.Time, service string) budgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceLocked(now, service).state(now)
}

// states returns the state of the retry budget of each service in use.
func (b *budgets) states(now time.Time) map[string]budgetState {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]budgetState, len(b.services))
	for service, s := range b.services {
		all[service] = s.state(now)
	}
	return all
}

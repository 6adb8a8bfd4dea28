package target

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
)

// Target is a running stand-in target.
type Target struct {
	config  Config
	effects *Ledger
	calls   *http.Client
	// slowdown multiplies the service time, in thousandths.
	slowdown atomic.Int64
	draining atomic.Bool
	lying    atomic.Bool
	inFlight atomic.Int64

	mu       sync.Mutex
	rng      *rand.Rand
	server   *http.Server
	address  string
	slots    chan struct{}
	started  time.Time
	crashes  int
	stopped  bool
	announce context.CancelFunc
}

// New returns a target that is not started yet.
func New(config Config) *Target {
	if config.Backlog == 0 {
		config.Backlog = 10 * config.Slots
	}
	if config.Effects == nil {
		config.Effects = NewLedger()
	}
	t := &Target{config: config, effects: config.Effects, rng: rand.New(rand.NewPCG(config.Seed, 1))}
	t.slowdown.Store(1000)
	t.calls = &http.Client{Transport: &chainhttp.Transport{
		Node: config.Node,
		Base: &http.Transport{MaxIdleConnsPerHost: 2 * config.Slots, IdleConnTimeout: 10 * time.Second},
	}}
	return t
}

// Start listens, serves and announces the target to its node.
func (t *Target) Start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startLocked()
}

func (t *Target) startLocked() error {
	address := t.address
	if address == "" {
		address = t.config.Address
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.address = listener.Addr().String()
	t.slots = make(chan struct{}, t.config.Slots)
	t.started = time.Now()
	t.server = &http.Server{Handler: t.handler(t.slots, t.started)}
	go t.server.Serve(listener)
	if t.config.Node != "" {
		ctx, cancel := context.WithCancel(context.Background())
		t.announce = cancel
		go t.announceLoop(ctx)
	}
	return nil
}

// Address returns the address that the target listens on.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Effects returns the target's ledger.
func (t *Target) Effects() *Ledger { return t.effects }

// Crashes returns how often the target has crashed.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// SetSlowdown multiplies the service time by factor.
func (t *Target) SetSlowdown(factor float64) { t.slowdown.Store(int64(factor * 1000)) }

// SetDraining announces the target as draining, or as ready again.
func (t *Target) SetDraining(on bool) { t.draining.Store(on) }

// SetLying makes the load endpoint report an idle target whatever its load.
func (t *Target) SetLying(on bool) { t.lying.Store(on) }

// Crash ends all connections without an answer and restarts the target after
// the restart delay, unless the configuration has an Exit function.
func (t *Target) Crash() {
	if t.config.Exit != nil {
		t.config.Exit()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.crashes++
	t.closeLocked()
	time.AfterFunc(t.config.RestartDelay, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.stopped {
			// The port can still be taken by a test that ends; the target then stays down.
			_ = t.startLocked()
		}
	})
}

// Drain announces the target as draining, waits for notice and then for the
// requests in progress, and stops the target. Requests that are still in
// progress when ctx ends are cut off.
func (t *Target) Drain(ctx context.Context, notice time.Duration) {
	t.SetDraining(true)
	timer := time.NewTimer(notice)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	server := t.server
	t.mu.Unlock()
	if server != nil {
		// Stop cuts off what Shutdown could not wait for.
		_ = server.Shutdown(ctx)
	}
	t.Stop()
}

// Stop ends the target and all of its connections.
func (t *Target) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.closeLocked()
	t.calls.CloseIdleConnections()
}

func (t *Target) closeLocked() {
	if t.announce != nil {
		t.announce()
		t.announce = nil
	}
	if t.server != nil {
		t.server.Close()
		t.server = nil
	}
}

// serviceTime draws the time that a request holds its slot: the mean times a
// factor from 0.5 to 1.5, the slowdown and the cold start.
func (t *Target) serviceTime(started time.Time) time.Duration {
	t.mu.Lock()
	factor := 0.5 + t.rng.Float64()
	t.mu.Unlock()
	factor *= float64(t.slowdown.Load()) / 1000
	if time.Since(started) < t.config.ColdStart {
		factor *= 4
	}
	return time.Duration(factor * float64(t.config.ServiceTime))
}

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
	config Config
	ledger *Ledger
	// client makes the sub-calls.
	client *http.Client
	// slowdown is the factor on the service time, in thousandths.
	slowdown atomic.Int64
	draining atomic.Bool
	// reportIdle makes the load endpoint report no requests in flight.
	reportIdle atomic.Bool
	inFlight   atomic.Int64

	mu      sync.Mutex
	rng     *rand.Rand
	server  *http.Server
	address string
	slots   chan struct{}
	started time.Time
	crashes int
	stopped bool
	// stopAnnouncing ends announceLoop; nil if it is not running.
	stopAnnouncing context.CancelFunc
}

// New returns a target; Start starts it.
func New(config Config) *Target {
	if config.Backlog == 0 {
		config.Backlog = 10 * config.Slots
	}
	if config.Ledger == nil {
		config.Ledger = NewLedger()
	}
	t := &Target{config: config, ledger: config.Ledger, rng: rand.New(rand.NewPCG(config.Seed, 1))}
	t.slowdown.Store(1000)
	t.client = &http.Client{Transport: &chainhttp.Transport{
		Node: config.NodeAddress,
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
	if t.config.NodeAddress != "" {
		ctx, cancel := context.WithCancel(context.Background())
		t.stopAnnouncing = cancel
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

// Ledger returns the target's ledger.
func (t *Target) Ledger() *Ledger { return t.ledger }

// Crashes returns the number of crashes.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// SetSlowdown multiplies the service time by factor.
func (t *Target) SetSlowdown(factor float64) { t.slowdown.Store(int64(factor * 1000)) }

// SetDraining announces the target as draining, or as ready again.
func (t *Target) SetDraining(on bool) { t.draining.Store(on) }

// SetReportIdle makes the load endpoint report an idle target regardless of its
// load.
func (t *Target) SetReportIdle(on bool) { t.reportIdle.Store(on) }

// Crash closes all connections without a response and restarts the target after
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
			// The restart fails if another process has taken the port, as can
			// happen when a test ends. The target then stays down.
			_ = t.startLocked()
		}
	})
}

// Drain announces the target as draining, waits for notice and then for the
// requests in progress, and stops the target. Requests that are still in
// progress when ctx ends are aborted.
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
		// On an error of Shutdown, Stop closes the remaining connections.
		_ = server.Shutdown(ctx)
	}
	t.Stop()
}

// Stop stops the target and closes all of its connections.
func (t *Target) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.closeLocked()
	t.client.CloseIdleConnections()
}

func (t *Target) closeLocked() {
	if t.stopAnnouncing != nil {
		t.stopAnnouncing()
		t.stopAnnouncing = nil
	}
	if t.server != nil {
		t.server.Close()
		t.server = nil
	}
}

// serviceTime returns a random time for which a request holds its slot: the
// configured mean times a uniform factor from 0.5 to 1.5, the slowdown, and 4
// during the cold start.
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

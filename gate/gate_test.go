package gate

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/limit"
)

// Guards against a target that gets no requests after timeouts because the
// expected service time has reached the deadline of every request.
func TestIdleTargetGetsWorkAfterTimeouts(t *testing.T) {
	g := New(time.Now())
	defer g.Close()
	g.Configure(time.Now(), Config{Slots: 1, MinLimit: 1, QueueTimeout: time.Second})
	const timeout = time.Minute
	for range 100 {
		id, failure := g.Acquire(context.Background(), Request{Deadline: time.Now().Add(timeout)})
		require.Nil(t, failure)
		g.Release(id, &limit.Sample{Latency: timeout, Total: timeout, TimedOut: true})
	}
}

// Guards against a cutoff that is not updated at the beginning of a burst: each
// arriving request reset the timer that drives the update.
func TestBurstDoesNotDelayCutoff(t *testing.T) {
	g := New(time.Now())
	defer g.Close()
	g.Configure(time.Now(), Config{Slots: 1, MinLimit: 1, QueueTimeout: time.Minute})
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	arrive := func() {
		callers.Go(func() {
			if id, failure := g.Acquire(ctx, Request{Deadline: time.Now().Add(time.Hour)}); failure == nil {
				<-ctx.Done()
				g.Release(id, nil)
			}
		})
	}
	// The bound is far above the 100 ms within which the cutoff has to be updated.
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		arrive()
		time.Sleep(time.Millisecond)
		if arrivals, _ := g.Demand(); arrivals > 0 {
			return
		}
	}
	t.Fatal("arrivals were not counted for 2 s")
}

// Guards against a data race between New and a first tick that runs before New
// returns, as on a busy machine.
func TestFirstTickDoesNotRaceWithNew(t *testing.T) {
	g := New(time.Now())
	time.Sleep(3 * limit.TickInterval)
	g.Close()
}

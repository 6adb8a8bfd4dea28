package gate

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/limit"
)

// Guards against a target that gets no work any more after timeouts, because
// the expected service time has reached the deadline of every request.
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

// Guards against a cutoff that is not set anew while requests arrive without a
// pause: each of them used to put off the timer on which that depends. The
// pattern is the beginning of a burst.
func TestBurstDoesNotPutOffTheCutoff(t *testing.T) {
	g := New(time.Now())
	defer g.Close()
	g.Configure(time.Now(), Config{Slots: 1, MinLimit: 1, QueueTimeout: time.Minute})
	ctx, cancel := context.WithCancel(t.Context())
	var waiting sync.WaitGroup
	defer waiting.Wait()
	defer cancel()
	arrive := func() {
		waiting.Go(func() {
			if id, failure := g.Acquire(ctx, Request{Deadline: time.Now().Add(time.Hour)}); failure == nil {
				<-ctx.Done()
				g.Release(id, nil)
			}
		})
	}
	// The bound is far above the 100 ms in which the cutoff is to be set.
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		arrive()
		time.Sleep(time.Millisecond)
		if arrivals, _ := g.Demand(); arrivals > 0 {
			return
		}
	}
	t.Fatal("arrivals were not counted for 2 s")
}

// Guards against a first tick that runs while the gate is being made, as on a
// busy machine (seen by the race detector).
func TestGateThatIsNotUsedTicks(t *testing.T) {
	g := New(time.Now())
	time.Sleep(3 * limit.TickInterval)
	g.Close()
}

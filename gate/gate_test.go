package gate

import (
	"context"
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

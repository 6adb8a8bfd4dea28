package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/limit"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Guards against a target that gets no work any more after timeouts, because
// the expected service time has reached the deadline of every request.
func TestIdleTargetGetsWorkAfterTimeouts(t *testing.T) {
	g := newGate(time.Now())
	defer g.close()
	g.configure(time.Now(), &policy.Policy{Slots: 1, Connections: 1, MinLimit: 1, QueueTimeout: time.Second}, 1)
	const timeout = time.Minute
	for range 100 {
		id, failure := g.acquire(context.Background(), admission.Rank(0), time.Now().Add(timeout))
		require.Nil(t, failure)
		g.release(id, &limit.Sample{Latency: timeout, Total: timeout, TimedOut: true})
	}
}

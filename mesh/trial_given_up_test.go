package mesh

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

// trialTarget is a target at which the request "first" works until it is released or cut.
type trialTarget struct {
	mu       sync.Mutex
	arrivals []string
	cut      bool
	release  chan struct{}
}

func (x *trialTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Id")
	x.mu.Lock()
	x.arrivals = append(x.arrivals, id)
	x.mu.Unlock()
	if id == "first" {
		select {
		case <-x.release:
		case <-r.Context().Done():
			x.mu.Lock()
			x.cut = true
			x.mu.Unlock()
		}
	}
	w.Header().Set("X-Id", id)
	w.Header().Set("X-Seal", "s")
}

func (x *trialTarget) arrived() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.arrivals)
}

// startTrial sends the request "first" on trial and lets its caller leave.
func startTrial(t *testing.T) (*Node, *trialTarget, chan *message.Reply) {
	x := &trialTarget{release: make(chan struct{})}
	server := httptest.NewServer(x)
	t.Cleanup(server.Close)
	n := startDrainTestNode(t, server.Listener.Addr().String())
	require.NoError(t, n.ReportTarget(t.Context(), registration.Report{TargetID: "t", StartedAtMs: 1, Seq: 2, State: registration.Ready, Service: "s", Slots: 8}))
	ctx, leave := context.WithCancel(t.Context())
	replies := make(chan *message.Reply, 1)
	go func() { replies <- n.servePeer(ctx, trialCall("first")) }()
	require.Eventually(t, func() bool { return len(x.arrived()) == 1 }, drainTestTimeout, time.Millisecond)
	leave()
	return n, x, replies
}

// trialCall returns a call with the content of all calls of these tests and a known crash
// more than a run beside others takes.
func trialCall(id string) *message.Call {
	call := drainTestCall(drainTestTimeout)
	call.ID, call.KnownCrashes = id, 2
	return call
}

// Guards against copies of a suspect that run at one target at the same time, since the
// trial of each ends when its caller leaves: the target is cut off from its result, and
// each copy counts as one more run.
func TestTrialGoesOnAfterItsCallerHasLeft(t *testing.T) {
	n, x, replies := startTrial(t)
	second := make(chan *message.Reply, 1)
	go func() { second <- n.servePeer(t.Context(), trialCall("second")) }()
	time.Sleep(trialLinger / 4)
	require.Equal(t, []string{"first"}, x.arrived(), "a copy runs beside the trial")
	close(x.release)
	require.Nil(t, (<-replies).Failure)
	require.Nil(t, (<-second).Failure)
	require.Equal(t, []string{"first", "second"}, x.arrived())
	require.False(t, x.cut)
}

// Guards against a trial that goes on at the target without a bound after its caller has
// left, and against one that ends while the target may still be at work.
func TestTrialThatIsCutLastsUntilItsDeadline(t *testing.T) {
	n, x, replies := startTrial(t)
	reply := <-replies
	require.NotNil(t, reply.Failure)
	require.Equal(t, kind.Canceled, reply.Failure.Kind)
	require.Eventually(t, func() bool { x.mu.Lock(); defer x.mu.Unlock(); return x.cut }, drainTestTimeout, time.Millisecond)
	second := n.servePeer(t.Context(), trialCall("second"))
	require.NotNil(t, second.Failure)
	require.Equal(t, kind.NotRun, second.Failure.Run)
	require.Equal(t, []string{"first"}, x.arrived(), "a copy runs while the first may still be at work")
}

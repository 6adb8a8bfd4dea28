package mesh

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/registration"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// twoServices returns a configuration with a route to service s and one to other.
func twoServices() *routetable.Config {
	c := testConfig(1)
	c.Services = append(c.Services, routetable.Service{Name: "other"})
	c.Routes = append(c.Routes, routetable.Route{Name: "o", Host: "o", Prefix: "/", Clusters: []routetable.Cluster{{Service: "other", Weight: 1}}})
	return c
}

// Guards against calls that wait for a target and are sent to the target of another
// service that gets its address: by a slot that becomes free, or by the larger number
// of slots of the new target. The calls have not run, and the new target does not wait
// for the slots that the earlier one held.
func TestWaitingCallIsNotSentToTargetOfOtherService(t *testing.T) {
	var mu sync.Mutex
	arrivals := map[string][]string{}
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, expected := r.Header.Get("X-Id"), r.Header.Get("X-Expected")
		mu.Lock()
		arrivals[expected] = append(arrivals[expected], id)
		mu.Unlock()
		if expected == "t" {
			<-silent
		}
		w.Header().Set("X-Id", id)
		w.Header().Set("X-Seal", "s")
	}))
	defer server.Close()
	defer close(silent)
	n := startDrainTestNode(t, server.Listener.Addr().String())
	require.NoError(t, n.ApplyConfig(twoServices(), "test"))
	replies := make(chan *message.Reply, 8)
	call := func(id, service string) {
		c := drainTestCall(drainTestTimeout)
		c.ID, c.Service, c.Unsafe = id, service, true
		go func() { replies <- n.servePeer(t.Context(), c) }()
	}
	call("at-work", "s")
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return len(arrivals["t"]) == 1 }, drainTestTimeout, time.Millisecond)
	for _, id := range []string{"w1", "w2", "w3"} {
		call(id, "s")
	}
	require.Eventually(t, func() bool { stats, _ := n.gate.Stats(); return stats.Waiting == 3 }, drainTestTimeout, time.Millisecond)
	require.NoError(t, n.ReportTarget(t.Context(), registration.Report{TargetID: "o", StartedAtMs: 2, Seq: 1, State: registration.Ready, Service: "other", Slots: 8}))
	for range 3 {
		reply := <-replies
		require.NotNil(t, reply.Failure)
		require.Equal(t, kind.Starting, reply.Failure.Kind)
		require.Equal(t, kind.NotRun, reply.Failure.Run)
		require.Nil(t, reply.Load, "the load of the new target says nothing about the service of the call")
	}
	call("own", "other")
	require.Nil(t, (<-replies).Failure)
	stats, _ := n.gate.Stats()
	require.Zero(t, stats.Running)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, map[string][]string{"t": {"at-work"}, "o": {"own"}}, arrivals)
}

// Guards against a sub-call that names the service of the target which has got the
// address since, and against a request of a client that is taken for a sub-call of a
// run at the earlier target, as it happens to have its deadline.
func TestSubCallNamesServiceOfItsParent(t *testing.T) {
	n := startDrainTestNode(t, testHost(78)+":1")
	require.NoError(t, n.ApplyConfig(twoServices(), "test"))
	parent := drainTestCall(drainTestTimeout)
	entry := n.inFlight.add(time.Now(), parent)
	classify := func(parentID string) *request {
		q, failure := n.classify(&message.Request{ID: "c", ParentID: parentID, Host: "h", URI: "/", Deadline: entry.deadline, Arrived: time.Now()})
		require.Nil(t, failure)
		return q
	}
	require.Same(t, entry, classify("").parent)
	require.NoError(t, n.ReportTarget(t.Context(), registration.Report{TargetID: "o", StartedAtMs: 2, Seq: 1, State: registration.Ready, Service: "other", Slots: 8}))
	client := classify("")
	require.Nil(t, client.parent)
	require.Equal(t, "other", client.call.CallerService)
	subCall := classify(parent.ID)
	require.Same(t, entry, subCall.parent)
	require.Equal(t, "s", subCall.call.CallerService)

	// Crashes and completions under a call are known by one fingerprint at both of its
	// nodes, which differs between callers.
	require.NotEqual(t, client.call.Fingerprint, subCall.call.Fingerprint)
	for _, q := range []*request{client, subCall} {
		received := *q.call
		received.Fingerprint = 0
		require.NotNil(t, n.servePeer(t.Context(), &received))
		require.Equal(t, q.call.Fingerprint, received.Fingerprint)
	}
}

// Guards against a reload of settings that still name the service of the earlier target:
// the node goes back to it, and its target gets no work until it has reported again.
func TestReloadKeepsReportedService(t *testing.T) {
	n := startDrainTestNode(t, testHost(78)+":1")
	require.NoError(t, n.ApplyConfig(twoServices(), "test"))
	require.NoError(t, n.ReportTarget(t.Context(), registration.Report{TargetID: "o", StartedAtMs: 2, Seq: 1, State: registration.Ready, Service: "other", Slots: 8}))
	n.Reconfigure("s", RetryBudgetConfig{}, time.Minute)
	_, failure := n.target.acceptsWork(time.Now(), "other")
	require.Nil(t, failure)
	n.Reconfigure("third", RetryBudgetConfig{}, time.Minute)
	require.Equal(t, "third", n.target.service())
}

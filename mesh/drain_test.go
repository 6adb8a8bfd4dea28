package mesh

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/gate"
	"github.com/goldcrestsail/goldcrestsail/httpconn"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

const (
	drainTestTimeout = 20 * time.Second
	// drainTestGrace exceeds the time that any of these tests takes.
	drainTestGrace = time.Minute
)

// startDrainTestNode starts a node with a target that has one slot. Nothing listens
// at the target's address unless the test does.
func startDrainTestNode(t *testing.T, targetAddress string) *Node {
	n := New(Config{
		Name: "a", Service: "s", TargetAddress: targetAddress, CallerAddress: testHost(78) + ":29480", PeerAddress: testHost(78) + ":29481", GossipAddress: testHost(78) + ":29482",
		Headers:        httpconn.HeaderNames{RequestID: "X-Id", TimeoutMS: "X-Timeout", Seal: "X-Seal", NotRun: "X-Not-Run", TargetLoad: "X-Load", TargetID: "X-Target", ExpectedTarget: "X-Expected", CallerService: "X-Caller"},
		ReportInterval: time.Hour, GracePeriod: drainTestGrace,
	})
	require.NoError(t, n.Start())
	t.Cleanup(n.Close)
	n.markDeparturesKnown()
	require.NoError(t, n.ReportTarget(t.Context(), registration.Report{TargetID: "t", StartedAtMs: 1, Seq: 1, State: registration.Ready, Service: "s", Slots: 1}))
	return n
}

func drainTestCall(timeout time.Duration) *message.Call {
	return &message.Call{Service: "s", MaxWait: drainTestTimeout, Request: message.Request{ID: "q", Method: "GET", URI: "/", Host: "h", Deadline: time.Now().Add(timeout)}}
}

// Guards against a target that is given a waiting call after its node has closed the
// listener for sub-calls: between two calls it may be idle.
func TestDrainKeepsListeningWhileCallsWait(t *testing.T) {
	n := startDrainTestNode(t, testHost(78)+":1")
	// Holds the only slot without a request at the target.
	id, failure := n.gate.Acquire(t.Context(), gate.Request{Deadline: time.Now().Add(drainTestGrace)})
	require.Nil(t, failure)
	replied := make(chan *message.Reply, 1)
	go func() { replied <- n.servePeer(t.Context(), drainTestCall(drainTestTimeout)) }()
	require.Eventually(t, func() bool { stats, _ := n.gate.Stats(); return stats.Waiting == 1 }, drainTestTimeout, time.Millisecond)
	drained := make(chan struct{})
	go func() { n.Drain(); close(drained) }()
	time.Sleep(readinessPropagation + 500*time.Millisecond)
	c, err := net.Dial("tcp", n.config.CallerAddress)
	require.NoError(t, err, "the target could not make sub-calls")
	require.NoError(t, c.Close())
	n.gate.Release(id, nil)
	require.NotNil(t, <-replied)
	<-drained
}

// Guards against calls of other nodes that are at work when a draining node ends: the
// answer of the target is lost, and the entry node answers in its place.
func TestCallTakenWhileDrainingEndsBeforeNode(t *testing.T) {
	told := make(chan time.Duration, 1)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		milliseconds, err := strconv.Atoi(r.Header.Get("X-Timeout"))
		if err == nil {
			told <- time.Duration(milliseconds) * time.Millisecond
		}
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Seal", "s")
	}))
	defer target.Close()
	n := startDrainTestNode(t, target.Listener.Addr().String())
	drained := make(chan struct{})
	go func() { n.Drain(); close(drained) }()
	require.Eventually(t, func() bool { return n.drainTimes.Load() != nil }, drainTestTimeout, time.Millisecond)
	require.Nil(t, n.servePeer(t.Context(), drainTestCall(2*drainTestGrace)).Failure)
	require.Less(t, <-told, time.Until(n.drainTimes.Load().ends))
	<-drained
}

// Guards against a call of another node that is taken for one that its caller has left,
// and not sent to another target, when this node ends with the call at work.
func TestCallAtWorkWhenNodeEndsIsNotCanceled(t *testing.T) {
	atWork, release := make(chan struct{}), make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(atWork)
		<-release
	}))
	defer target.Close()
	defer close(release)
	n := startDrainTestNode(t, target.Listener.Addr().String())
	replied := make(chan *message.Reply, 1)
	go func() { replied <- n.servePeer(t.Context(), drainTestCall(drainTestTimeout)) }()
	<-atWork
	n.endGraceOver()
	reply := <-replied
	require.NotNil(t, reply.Failure)
	require.Equal(t, kind.Draining, reply.Failure.Kind)
	require.Equal(t, kind.MayHaveRun, reply.Failure.Run)
}

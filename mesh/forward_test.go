package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

func newTestForwarding(t *testing.T, unsafe bool) *forwarding {
	n := New(Config{TargetAddress: "127.0.0.1:1", Budget: RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}})
	t.Cleanup(n.gate.Close)
	call := &message.Call{Service: "s", Unsafe: unsafe}
	call.Deadline = time.Now().Add(time.Minute)
	return &forwarding{node: n, request: &request{call: call, route: &routetable.Route{Name: "r", MaxAttempts: 2}}}
}

func failureReply(k kind.Kind, run kind.RunState) *message.Reply {
	return &message.Reply{Failure: kind.New(k, "").WithRun(run)}
}

func responseReply(status int) *message.Reply {
	return &message.Reply{Response: &message.Response{Status: status}}
}

// Guards against a target's own failure response that is replaced by a failure
// of the node because the retry at another target was refused.
func TestTargetResponseIsKeptWhenRetryFails(t *testing.T) {
	f := newTestForwarding(t, false)
	first := responseReply(500)
	require.True(t, f.shouldRetry(context.Background(), first))
	second := failureReply(kind.Shed, kind.NotRun)
	require.False(t, f.shouldRetry(context.Background(), second))
	require.Same(t, first, f.finalReply(second))
}

// Guards against status 503, which guarantees that the request has not run,
// after an attempt that may have run.
func TestEarlierAttemptMarksFailureMayHaveRun(t *testing.T) {
	f := newTestForwarding(t, false)
	require.True(t, f.shouldRetry(context.Background(), failureReply(kind.PeerLost, kind.MayHaveRun)))
	last := failureReply(kind.Shed, kind.NotRun)
	require.False(t, f.shouldRetry(context.Background(), last))
	require.Equal(t, kind.MayHaveRun, f.finalReply(last).Failure.Run)
	require.Equal(t, 502, failureResponse(last.Failure, time.Second, 0).Status)
}

// Guards against an unsafe request that is retried although it may have run,
// and against one that is not retried although it has certainly not run.
func TestUnsafeRequestIsRetriedOnlyIfNotRun(t *testing.T) {
	for _, k := range []kind.Kind{kind.PeerLost, kind.AnswerTruncated, kind.AnswerMismatched, kind.TargetCrashed, kind.DeadlineExpired} {
		require.False(t, newTestForwarding(t, true).shouldRetry(context.Background(), failureReply(k, kind.MayHaveRun)), k)
	}
	require.False(t, newTestForwarding(t, true).shouldRetry(context.Background(), responseReply(500)))
	for _, k := range []kind.Kind{kind.DialFailed, kind.Draining, kind.Starting} {
		require.True(t, newTestForwarding(t, true).shouldRetry(context.Background(), failureReply(k, kind.NotRun)), k)
	}
}

// Guards against a suspect that ends two targets in one attempt of its client.
func TestSuspectIsNotRetriedAfterLostRun(t *testing.T) {
	for _, k := range []kind.Kind{kind.PeerLost, kind.AnswerTruncated, kind.TargetCrashed} {
		f := newTestForwarding(t, false)
		require.True(t, f.shouldRetry(context.Background(), failureReply(k, kind.MayHaveRun)), k)
		f = newTestForwarding(t, false)
		f.request.call.KnownCrashes = 1
		require.False(t, f.shouldRetry(context.Background(), failureReply(k, kind.MayHaveRun)), k)
		require.Equal(t, kind.MayHaveRun, f.finalReply(failureReply(k, kind.NotRun)).Failure.Run)
		require.True(t, f.shouldRetry(context.Background(), failureReply(kind.DialFailed, kind.NotRun)))
	}
}

// Guards against a failure of the system that a client takes for the target's
// response, and against statuses that guarantee more than is known.
func TestFailureStatusMatchesRunState(t *testing.T) {
	for k := range kind.Responses {
		for _, run := range []kind.RunState{kind.NotRun, kind.MayHaveRun, kind.Ran} {
			r := failureResponse(kind.New(k, "").WithRun(run), time.Second, 0.5)
			if run != kind.NotRun {
				require.NotContains(t, []int{408, 421, 429, 503}, r.Status, "%s %s", k, run)
			}
			require.LessOrEqual(t, r.RetryAfter, time.Second/3, "%s %s", k, run)
		}
	}
}

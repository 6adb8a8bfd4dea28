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

func testForwarding(t *testing.T, unsafe bool) *forwarding {
	n := New(Config{TargetAddress: "127.0.0.1:1", Budget: BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}})
	t.Cleanup(n.gate.Close)
	call := &message.Call{Service: "s", Unsafe: unsafe}
	call.Deadline = time.Now().Add(time.Minute)
	return &forwarding{node: n, request: &request{call: call, route: &routetable.Route{Name: "r", MaxAttempts: 2}}}
}

func failed(k kind.Kind, run kind.RunState) *message.Reply {
	return &message.Reply{Failure: kind.New(k, "").WithRun(run)}
}

func responded(status int) *message.Reply {
	return &message.Reply{Response: &message.Response{Status: status}}
}

// Guards against a target's own failure that is replaced by one of the node,
// because the repeat elsewhere did not even start.
func TestResponseOfATargetOutlastsAFailedRepeat(t *testing.T) {
	f := testForwarding(t, false)
	first := responded(500)
	require.True(t, f.again(context.Background(), first))
	second := failed(kind.Shed, kind.NotRun)
	require.False(t, f.again(context.Background(), second))
	require.Same(t, first, f.final(second))
}

// Guards against a 503, which says that nothing has run, after an attempt that
// may have.
func TestUncertainAttemptMarksTheFailure(t *testing.T) {
	f := testForwarding(t, false)
	require.True(t, f.again(context.Background(), failed(kind.PeerLost, kind.MayHaveRun)))
	last := failed(kind.Shed, kind.NotRun)
	require.False(t, f.again(context.Background(), last))
	require.Equal(t, kind.MayHaveRun, f.final(last).Failure.Run)
	require.Equal(t, 502, answer(last.Failure, time.Second, 0).Status)
}

// Guards against an unsafe request that is sent again although it may have run,
// and against one that is given up although it certainly has not.
func TestUnsafeRequestIsRepeatedOnlyUnrun(t *testing.T) {
	for _, k := range []kind.Kind{kind.PeerLost, kind.AnswerTruncated, kind.AnswerMismatched, kind.TargetCrashed, kind.DeadlineExpired} {
		require.False(t, testForwarding(t, true).again(context.Background(), failed(k, kind.MayHaveRun)), k)
	}
	require.False(t, testForwarding(t, true).again(context.Background(), responded(500)))
	for _, k := range []kind.Kind{kind.DialFailed, kind.Draining, kind.Starting} {
		require.True(t, testForwarding(t, true).again(context.Background(), failed(k, kind.NotRun)), k)
	}
}

// Guards against a failure of the system that is taken for the target's verdict
// on the request, and against statuses that promise what is not known.
func TestAnswersPromiseOnlyWhatIsKnown(t *testing.T) {
	for k := range kind.Responses {
		for _, run := range []kind.RunState{kind.NotRun, kind.MayHaveRun, kind.Ran} {
			r := answer(kind.New(k, "").WithRun(run), time.Second, 0.5)
			if run != kind.NotRun {
				require.NotContains(t, []int{408, 421, 429, 503}, r.Status, "%s %s", k, run)
			}
			require.LessOrEqual(t, r.RetryAfter, time.Second/3, "%s %s", k, run)
		}
	}
}

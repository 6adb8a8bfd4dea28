package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/message"
)

func runCall(id string, deadline time.Time) *message.Call {
	return &message.Call{Request: message.Request{ID: id, Deadline: deadline}}
}

// Guards against sub-calls that are taken for new chains, or for those of
// another request, and so have its importance.
func TestSubCallFindsItsParent(t *testing.T) {
	now := time.Unix(100, 0)
	r := newRunning()
	a := r.begin(now, runCall("a", now.Add(time.Second)))
	b := r.begin(now, runCall("b", now.Add(time.Second)))
	require.Nil(t, r.match(now, "gone", a.deadline), "an ID that names another parent is not matched by deadline")
	require.Same(t, a, r.match(now, "", a.deadline.Add(time.Millisecond)))
	require.Same(t, b, r.match(now, "", b.deadline))
	require.Nil(t, r.match(now, "", now.Add(2*time.Second)))
	require.Same(t, b, r.match(now, "b", now.Add(time.Second)))
	require.Nil(t, r.match(now, "", a.deadline), "the target names its sub-calls, so this is a client's request")
	c := r.begin(now, runCall("c", now.Add(time.Second)))
	require.Equal(t, now.Add(time.Second), c.deadline, "no deadline is brought forward once sub-calls are named")
	require.GreaterOrEqual(t, a.deadline.Sub(b.deadline).Abs(), deadlineSpacing, "equal deadlines are told apart")
}

// Guards against a target that looks slow because it waits for its sub-calls, and
// against a failure that is blamed on the target instead of its dependency.
func TestTimeInSubCallsIsNotTheTargetsOwn(t *testing.T) {
	now := time.Unix(100, 0)
	r := newRunning()
	x := r.begin(now, runCall("a", now.Add(time.Minute)))
	r.match(now.Add(time.Second), "a", now)
	r.match(now.Add(2*time.Second), "a", now)
	r.subCallEnded(now.Add(3*time.Second), x, []message.Visit{{Service: "s", Runs: 2}}, false)
	r.subCallEnded(now.Add(5*time.Second), x, []message.Visit{{Service: "s", Runs: 1}}, true)
	own, total := r.end(now.Add(6*time.Second), x)
	require.Equal(t, 2*time.Second, own)
	require.Equal(t, 6*time.Second, total)
	visited, failed := r.outcome(x)
	require.Equal(t, []message.Visit{{Service: "s", Runs: 3}}, visited)
	require.True(t, failed)
}

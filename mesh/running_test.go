package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/message"
)

func testCall(id string, deadline time.Time) *message.Call {
	return &message.Call{Request: message.Request{ID: id, Deadline: deadline}}
}

// Guards against a sub-call that is taken for the root of a new chain, or
// matched to another request, and so gets the wrong importance.
func TestSubCallFindsItsParent(t *testing.T) {
	now := time.Unix(100, 0)
	r := newInFlight()
	a := r.add(now, testCall("a", now.Add(time.Second)))
	b := r.add(now, testCall("b", now.Add(time.Second)))
	require.Nil(t, r.matchSubCall(now, "gone", a.deadline), "a sub-call with an unknown parent ID is not matched by deadline")
	require.Same(t, a, r.matchSubCall(now, "", a.deadline.Add(time.Millisecond)))
	require.Same(t, b, r.matchSubCall(now, "", b.deadline))
	require.Nil(t, r.matchSubCall(now, "", now.Add(2*time.Second)))
	require.Same(t, b, r.matchSubCall(now, "b", now.Add(time.Second)))
	require.Nil(t, r.matchSubCall(now, "", a.deadline), "the target sends parent IDs, so this is a request of a client")
	c := r.add(now, testCall("c", now.Add(time.Second)))
	require.Equal(t, now.Add(time.Second), c.deadline, "deadlines are not moved once parent IDs have been seen")
	require.GreaterOrEqual(t, a.deadline.Sub(b.deadline).Abs(), minDeadlineSpacing, "equal deadlines are made distinct")
}

// Guards against a target that appears slow because it waits for its sub-calls,
// and against a failure that is attributed to the target although a dependency
// failed.
func TestTimeInSubCallsIsNotTheTargetsOwn(t *testing.T) {
	now := time.Unix(100, 0)
	r := newInFlight()
	entry := r.add(now, testCall("a", now.Add(time.Minute)))
	r.matchSubCall(now.Add(time.Second), "a", now)
	r.matchSubCall(now.Add(2*time.Second), "a", now)
	r.endSubCall(now.Add(3*time.Second), entry, []message.Visit{{Service: "s", Runs: 2}}, false)
	r.endSubCall(now.Add(5*time.Second), entry, []message.Visit{{Service: "s", Runs: 1}}, true)
	ownTime, totalTime := r.remove(now.Add(6*time.Second), entry)
	require.Equal(t, 2*time.Second, ownTime)
	require.Equal(t, 6*time.Second, totalTime)
	visited, failed := r.subCallOutcome(entry)
	require.Equal(t, []message.Visit{{Service: "s", Runs: 3}}, visited)
	require.True(t, failed)
}

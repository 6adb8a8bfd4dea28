package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// Guards against requests that a draining node takes although they may outlast it,
// against refusals of what it can finish and of the sub-calls of its target, and
// against giving up the answer of a target that has been told the last deadline.
func TestRequestsOfDrainingNodeEndBeforeIt(t *testing.T) {
	started := time.Unix(0, 0)
	drain := &drainTimes{started: started, ends: started.Add(5650 * time.Millisecond)}
	last := drain.ends.Add(-targetEndMargin)
	for name, c := range map[string]struct {
		arrived, timeout   time.Duration
		unsafe, subCall    bool
		refused, shortened bool
	}{
		"ends in time":                     {arrived: 4 * time.Second, timeout: time.Second, unsafe: true},
		"early, may outlast":               {arrived: time.Second, timeout: 5 * time.Second, unsafe: true, shortened: true},
		"late, idempotent":                 {arrived: 3 * time.Second, timeout: 5 * time.Second, refused: true},
		"late, ends in time":               {arrived: 3 * time.Second, timeout: 2 * time.Second},
		"late, unsafe":                     {arrived: 3 * time.Second, timeout: 5 * time.Second, unsafe: true, refused: true},
		"late sub-call":                    {arrived: 5 * time.Second, timeout: 2 * time.Second, subCall: true, shortened: true},
		"after the last moment, root only": {arrived: 5600 * time.Millisecond, timeout: 2 * time.Second, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			arrived := started.Add(c.arrived)
			deadline := arrived.Add(c.timeout)
			q := &request{call: &message.Call{Request: message.Request{Deadline: deadline}, Unsafe: c.unsafe}, route: &routetable.Route{}, root: !c.subCall, answerBy: deadline}
			failure := drain.bound(q, arrived)
			if c.refused {
				require.NotNil(t, failure)
				require.Equal(t, kind.Draining, failure.Kind)
				require.Equal(t, kind.NotRun, failure.Run)
				return
			}
			require.Nil(t, failure)
			want, answerBy := deadline, deadline
			if c.shortened {
				want, answerBy = last, drain.ends.Add(-answerEndMargin)
			}
			require.Equal(t, want, q.call.Deadline)
			require.Equal(t, answerBy, q.answerBy)
			if c.shortened {
				again, answerAgain, limited := drain.limit(q.call.Deadline)
				require.True(t, limited)
				require.Equal(t, want, again)
				require.Equal(t, answerBy, answerAgain, "the node beside the target waits as long as the entry node")
			}
			require.Nil(t, (*drainTimes)(nil).bound(q, arrived), "the node does not drain")
		})
	}
}

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
// and against refusals of what it could still finish or of the sub-calls of its target.
func TestRequestsOfDrainingNodeEndBeforeIt(t *testing.T) {
	started := time.Unix(0, 0)
	drain := &drainTimes{started: started, ends: started.Add(5650 * time.Millisecond)}
	last := drain.ends.Add(-targetEndMargin)
	for name, c := range map[string]struct {
		arrived, timeout, objective time.Duration
		unsafe, subCall             bool
		refused, shortened          bool
	}{
		"ends in time":                     {arrived: 4 * time.Second, timeout: time.Second, unsafe: true},
		"early, may outlast":               {arrived: time.Second, timeout: 5 * time.Second, unsafe: true, shortened: true},
		"late, objective fits":             {arrived: 3 * time.Second, timeout: 5 * time.Second, objective: 2 * time.Second, shortened: true},
		"late, objective does not fit":     {arrived: 4 * time.Second, timeout: 5 * time.Second, objective: 2 * time.Second, refused: true},
		"late, unsafe":                     {arrived: 3 * time.Second, timeout: 5 * time.Second, unsafe: true, refused: true},
		"late sub-call":                    {arrived: 5 * time.Second, timeout: 2 * time.Second, objective: time.Second, subCall: true, shortened: true},
		"after the last moment, root only": {arrived: 5600 * time.Millisecond, timeout: 2 * time.Second, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			arrived := started.Add(c.arrived)
			deadline := arrived.Add(c.timeout)
			q := &request{call: &message.Call{Request: message.Request{Deadline: deadline}, Unsafe: c.unsafe}, route: &routetable.Route{Objective: c.objective}, root: !c.subCall, answerBy: deadline}
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
			require.Nil(t, (*drainTimes)(nil).bound(q, arrived), "the node does not drain")
		})
	}
}

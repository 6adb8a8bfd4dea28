package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logOfNodeA = `  12.1 node-a {"@level":"info","@message":"request failed","@timestamp":"2026-05-14T22:43:28.500000Z","request_id":"q","kind":"shed"}
  12.1 node-a {"@level":"info","@message":"request failed","@timestamp":"2026-05-14T22:43:2
panic: not a log line
  12.2 node-a {"@level":"info","@message":"request answered","@timestamp":"2026-05-14T22:43:28.100000Z","request_id":"qq"}
`

const logOfNodeB = `{"@level":"info","@message":"call not answered by the target","@timestamp":"2026-05-14T22:43:28.400000Z","request_id":"q.1","waiting":7}
`

// Guards against a result that lacks the lines of sub-calls, contains those of
// other requests, is not sorted by time, or ends at a truncated line.
func TestAddLogCollectsLinesOfOneRequest(t *testing.T) {
	r := &Result{}
	require.NoError(t, r.AddLog("a.log", "q", strings.NewReader(logOfNodeA)))
	require.NoError(t, r.AddLog("b.log", "q", strings.NewReader(logOfNodeB)))
	require.Len(t, r.Lines, 2)
	require.Equal(t, "call not answered by the target", r.Lines[0].Message)
	require.Contains(t, r.Lines[0].String(), "request_id=q.1 waiting=7")
	require.Equal(t, "a.log 12.1 node-a", r.Lines[1].Source)
	require.Equal(t, 2, r.Skipped)
}

// Guards against a log that cannot be read and is reported as one without lines
// about the request.
func TestAddLogReportsUnreadableLine(t *testing.T) {
	r := &Result{}
	err := r.AddLog("a.log", "q", strings.NewReader(logOfNodeB+strings.Repeat("x", maxLineBytes+1)))
	require.ErrorContains(t, err, "a.log, line 2")
}

package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const nodeA = `  12.1 node-a {"@level":"info","@message":"request failed","@timestamp":"2026-05-14T22:43:28.500000Z","request_id":"q","kind":"shed"}
  12.1 node-a {"@level":"info","@message":"request failed","@timestamp":"2026-05-14T22:43:2
panic: not a log line
  12.2 node-a {"@level":"info","@message":"request answered","@timestamp":"2026-05-14T22:43:28.100000Z","request_id":"qq"}
`

const nodeB = `{"@level":"info","@message":"call not answered by the target","@timestamp":"2026-05-14T22:43:28.400000Z","request_id":"q.1","waiting":7}
`

// Guards against an explanation that lacks sub-calls, mixes requests, is out of
// order, or stops at a line that was cut.
func TestFindCollectsOneRequest(t *testing.T) {
	r := &Result{}
	require.NoError(t, r.Find("a.log", "q", strings.NewReader(nodeA)))
	require.NoError(t, r.Find("b.log", "q", strings.NewReader(nodeB)))
	require.Len(t, r.Lines, 2)
	require.Equal(t, "call not answered by the target", r.Lines[0].Message)
	require.Contains(t, r.Lines[0].String(), "request_id=q.1 waiting=7")
	require.Equal(t, "a.log 12.1 node-a", r.Lines[1].Source)
	require.Equal(t, 2, r.Skipped)
}

// Guards against an unreadable input that looks like a request without a trace.
func TestFindNamesTheLineThatCannotBeRead(t *testing.T) {
	r := &Result{}
	err := r.Find("a.log", "q", strings.NewReader(nodeB+strings.Repeat("x", maxLineBytes+1)))
	require.ErrorContains(t, err, "a.log, line 2")
}

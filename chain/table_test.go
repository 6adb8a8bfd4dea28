package chain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newTableWithChain(t require.TestingT, config Config, c Chain) (*Table, Token) {
	table := NewTable(config)
	require.NoError(t, table.Enter(at(0), Token{1}, c, 15))
	return table, Token{1}
}

func requireKind(t require.TestingT, want kind.Kind, err error) {
	require.Error(t, err)
	require.Equal(t, want, kind.Of(err).Kind)
	require.Equal(t, kind.NotRun, kind.Of(err).Run)
}

// Guards against retries by the target itself that are not counted against the
// allowance.
func TestRepeatedSubCallUsesAllowance(t *testing.T) {
	table, token := newTableWithChain(t, Config{}, Chain{Allowance: 2, Path: []string{"a.x"}})
	call := Call{Service: "b.x", Fingerprint: 7}
	first, err := table.BeginCall(at(0), token, call)
	require.NoError(t, err)
	require.False(t, first.Repeat)
	require.Equal(t, 1, first.Allowance())
	table.EndCall(at(1), token, &first, Outcome{}) // The share is lost.
	table.EndCall(at(1), token, &first, Outcome{Answered: true, Unused: 1})
	second, err := table.BeginCall(at(2), token, call)
	require.NoError(t, err)
	require.True(t, second.Repeat)
	table.EndCall(at(3), token, &second, Outcome{Answered: true})
	_, err = table.BeginCall(at(4), token, call)
	requireKind(t, kind.AllowanceExhausted, err)
	_, err = table.BeginCall(at(4), token, Call{Service: "b.x", Fingerprint: 8})
	require.NoError(t, err, "another sub-call is a first attempt")
	summary, ok := table.Leave(at(5), token)
	require.True(t, ok)
	require.Zero(t, summary.Unused)
	_, err = table.BeginCall(at(6), token, call)
	requireKind(t, kind.Malformed, err)
}

// Guards against more retries than the allowance permits when the target repeats
// sub-calls and this node retries them in any interleaving. Guards also against an
// own service time from which overlapping sub-calls are subtracted twice.
func TestRetriesStayWithinAllowanceAndOverlapCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.IntRange(0, 8).Draw(t, "allowance")
		table, token := newTableWithChain(t, Config{MaxCalls: 5}, Chain{Allowance: allowance, Path: []string{"a.x"}})
		seen := map[uint64]bool{}
		var open []Grant
		retries, usedDownstream, now, busy := 0, 0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := rapid.IntRange(0, 20).Draw(t, "ms")
			now += step
			if len(open) > 0 {
				busy += step
			}
			out := Outcome{Answered: rapid.Bool().Draw(t, "answered"), Unused: rapid.IntRange(-1, 9).Draw(t, "unused")}
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				f := rapid.Uint64Range(0, 8).Draw(t, "fingerprint")
				if g, err := table.BeginCall(at(now), token, Call{Service: "b.x", Fingerprint: f}); err == nil {
					if seen[f] {
						require.True(t, g.Repeat)
						retries++
					}
					seen[f] = true
					open = append(open, g)
				}
			case 1:
				if len(open) > 0 {
					usedDownstream += max(open[0].Allowance()-max(out.Unused, 0), 0)
					table.EndCall(at(now), token, &open[0], out)
					open = open[1:]
				}
			case 2:
				if len(open) > 0 {
					usedDownstream += max(open[0].Allowance()-max(out.Unused, 0), 0)
					g, err := table.Retry(at(now), token, &open[0], out)
					open = open[1:]
					if err == nil {
						retries++
						open = append(open, g)
					}
				}
			}
		}
		summary, _ := table.Leave(at(now), token)
		// If each response states its unused retries correctly, the others were used
		// downstream.
		require.LessOrEqual(t, retries+usedDownstream+summary.Unused, allowance)
		require.Equal(t, time.Duration(now)*time.Millisecond, summary.Total)
		require.Equal(t, time.Duration(now-busy)*time.Millisecond, summary.OwnTime)
	})
}

// Guards against unbounded recursion through the call graph.
func TestLoopAndDepthBounds(t *testing.T) {
	table, token := newTableWithChain(t, Config{}, Chain{Depth: 13, Path: []string{"a.x", "b.x", "a.x"}})
	_, err := table.BeginCall(at(0), token, Call{Service: "a.x", MaxDepth: 15})
	requireKind(t, kind.Loop, err)
	_, err = table.BeginCall(at(0), token, Call{Service: "b.x", MaxDepth: 15})
	require.NoError(t, err)
	_, err = table.BeginCall(at(0), token, Call{Service: "c.x", MaxDepth: 14})
	requireKind(t, kind.TooDeep, err)
	requireKind(t, kind.TooDeep, table.Enter(at(0), Token{2}, Chain{Depth: 15}, 15))
	requireKind(t, kind.Loop, table.Enter(at(0), Token{2}, Chain{Depth: 2, Path: []string{"a.x", "a.x", "a.x"}}, 15))
	requireKind(t, kind.Internal, table.Enter(at(0), token, Chain{}, 15))
}

// Guards against memory growth through leaked chains or through sub-calls and
// visited services that a target sends, and against a table that stays full of
// leaked chains.
func TestTableSizeIsBounded(t *testing.T) {
	table := NewTable(Config{MaxChains: 2, MaxCalls: 2})
	require.NoError(t, table.Enter(at(0), Token{1}, Chain{Deadline: at(100), Allowance: 1}, 15))
	require.NoError(t, table.Enter(at(0), Token{2}, Chain{Deadline: at(90_000)}, 15))
	requireKind(t, kind.Shed, table.Enter(at(200), Token{3}, Chain{}, 15))
	for f := range uint64(3) {
		_, err := table.BeginCall(at(200), Token{1}, Call{Service: "b.x", Fingerprint: f})
		require.NoError(t, err)
	}
	_, err := table.BeginCall(at(200), Token{1}, Call{Service: "b.x", Fingerprint: 4})
	requireKind(t, kind.AllowanceExhausted, err)
	require.NoError(t, table.Enter(at(31_000), Token{3}, Chain{}, 15), "the abandoned chain is removed")
	_, ok := table.Lookup(Token{1})
	require.False(t, ok)
	require.Equal(t, 2, table.Len())
	var many []string
	for i := range 2 * MaxVisited {
		many = append(many, fmt.Sprint("s", i%(MaxVisited+9), ".x"))
	}
	g, err := table.BeginCall(at(31_000), Token{3}, Call{Service: "b.x"})
	require.NoError(t, err)
	table.EndCall(at(31_001), Token{3}, &g, Outcome{Answered: true, Visited: many})
	summary, _ := table.Leave(at(31_002), Token{3})
	require.Len(t, summary.Visited, MaxVisited)
	require.Equal(t, "b.x", summary.Visited[0])
}

// Guards against different sub-calls with the same fingerprint, and against a
// token that changes when it is sent in tracestate.
func TestFingerprintAndToken(t *testing.T) {
	base := Fingerprint("GET", "b.x", "/p?q=1", "", BodyHash(nil))
	for _, other := range []uint64{
		Fingerprint("HEAD", "b.x", "/p?q=1", "", BodyHash(nil)), Fingerprint("GET", "b.y", "/p?q=1", "", BodyHash(nil)),
		Fingerprint("GET", "b.x", "/p?q=2", "", BodyHash(nil)), Fingerprint("GET", "b.x", "/p?q=1", "k", BodyHash(nil)),
		Fingerprint("GET", "b.x", "/p?q=1", "", BodyHash([]byte("x"))), Fingerprint("GETb", ".x", "/p?q=1", "", BodyHash(nil))} {
		require.NotEqual(t, base, other)
	}
	token := Token{0xab, 1}
	parsed, err := ParseToken(token.String())
	require.NoError(t, err)
	require.Equal(t, token, parsed)
	for _, bad := range []string{"", "ab", strings.Repeat("g", 32), strings.Repeat("a", 33)} {
		_, err := ParseToken(bad)
		requireKind(t, kind.Malformed, err)
	}
}

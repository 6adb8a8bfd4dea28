package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// retryAllowance is the allowance of one hop of the simulated call graph. Two
// implementations run the same graphs: Allowance, and a number that is copied to
// every call.
type retryAllowance interface {
	take() bool
	// split starts a call with the given number of retries; reclaim handles the
	// number that its response reports as unused.
	split() (given int, reclaim func(unused int))
	remaining() int
}

type splitAllowance struct{ a *Allowance }

func (s splitAllowance) take() bool     { return s.a.Take() }
func (s splitAllowance) remaining() int { return s.a.Remaining() }
func (s splitAllowance) split() (int, func(int)) {
	share := s.a.Split(0)
	return share.Retries(), func(unused int) { s.a.Reclaim(&share, unused) }
}

// copiedAllowance is the naive implementation: every hop may use all the retries that
// its caller had.
type copiedAllowance struct{ n int }

func (c *copiedAllowance) remaining() int          { return c.n }
func (c *copiedAllowance) split() (int, func(int)) { return c.n, func(int) {} }
func (c *copiedAllowance) take() bool {
	if c.n == 0 {
		return false
	}
	c.n--
	return true
}

// callGraph simulates one client request through a random call graph in which every
// hop retries failed calls as long as its allowance permits.
type callGraph struct {
	rng                   *rand.Rand
	newAllowance          func(n int) retryAllowance
	depth, fanOut, hops   int
	failing, losing, late float64
	retries               int
}

// run handles a request at one hop and returns whether it succeeded and how many
// retries it reports as unused.
func (g *callGraph) run(depth, allowance int) (ok bool, unused int) {
	own := g.newAllowance(allowance)
	g.hops--
	ok = true
	var lateResponses []func()
	if depth+1 < g.depth {
		for range g.rng.IntN(g.fanOut + 1) {
			if g.hops <= 0 {
				break
			}
			succeeded := false
			for !succeeded && g.hops > 0 {
				given, reclaim := own.split()
				calleeOK, calleeUnused := g.run(depth+1, given)
				switch draw := g.rng.Float64(); {
				case draw < g.losing: // No response arrives; the call may have run.
				case draw < g.losing+g.late: // The caller has timed out by then.
					lateResponses = append(lateResponses, func() { reclaim(calleeUnused) })
				default:
					succeeded = calleeOK
					reclaim(calleeUnused)
					// A duplicate response with a wrong number must not add retries.
					reclaim(calleeUnused + 5)
				}
				if !succeeded && !own.take() {
					ok = false
					break
				} else if !succeeded {
					g.retries++
				}
			}
			if len(lateResponses) > 0 && g.rng.IntN(2) == 0 {
				lateResponses[0]()
				lateResponses = lateResponses[1:]
			}
		}
	}
	return ok && g.rng.Float64() >= g.failing, own.remaining()
}

func drawCallGraph(t *rapid.T, newAllowance func(int) retryAllowance) (*callGraph, int) {
	return &callGraph{
		rng:          rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		newAllowance: newAllowance,
		depth:        rapid.IntRange(1, 15).Draw(t, "depth"),
		fanOut:       rapid.IntRange(1, 20).Draw(t, "fan-out"),
		hops:         5000,
		failing:      rapid.Float64Range(0, 0.9).Draw(t, "failing"),
		losing:       rapid.Float64Range(0, 0.5).Draw(t, "losing"),
		late:         rapid.Float64Range(0, 0.4).Draw(t, "late"),
	}, rapid.IntRange(0, 16).Draw(t, "allowance")
}

// Guards against retries that multiply from hop to hop: whichever calls fail or
// get a lost or late response, one client request causes at most its allowance of
// retries.
func TestRetriesOfARequestNeverExceedItsAllowance(t *testing.T) {
	used := 0
	rapid.Check(t, func(t *rapid.T) {
		g, allowance := drawCallGraph(t, func(n int) retryAllowance { return splitAllowance{NewAllowance(n)} })
		_, unused := g.run(0, allowance)
		require.LessOrEqual(t, g.retries+unused, allowance)
		used += g.retries
	})
	require.Positive(t, used, "no call graph caused a retry, so nothing was checked")
}

// Guards against a property test that cannot fail: the same call graphs must exceed
// the allowance if every hop uses a copy of it.
func TestACopiedAllowanceIsExceeded(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		g, allowance := drawCallGraph(t, func(n int) retryAllowance { return &copiedAllowance{n} })
		g.run(0, allowance)
		worst = max(worst, g.retries-allowance)
	})
	t.Logf("a copied allowance was exceeded by up to %d retries", worst)
	require.Positive(t, worst)
}

// Guards against a split that leaves the hop nearer to the client with fewer
// retries than the next hop.
func TestSplitKeepsTheLargerHalf(t *testing.T) {
	for _, c := range []struct{ left, keep, given int }{{0, 0, 0}, {1, 0, 0}, {2, 0, 1}, {3, 0, 1}, {5, 0, 2}, {5, 4, 1}, {5, 9, 0}, {4, -3, 2}} {
		a := NewAllowance(c.left)
		share := a.Split(c.keep)
		require.Equal(t, c.given, share.Retries(), c)
		require.Equal(t, c.left-c.given, a.Remaining(), c)
	}
}

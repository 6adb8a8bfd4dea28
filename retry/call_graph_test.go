package retry

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// purse is how a hop of the simulated call graph holds its allowance, so that
// the same graphs run with Allowance and with a copied number.
type purse interface {
	take() bool
	// split starts a call: carried goes with it, settle takes the response.
	split() (carried int, settle func(unused int))
	left() int
}

type handedOn struct{ a *Allowance }

func (p handedOn) take() bool { return p.a.Take() }
func (p handedOn) left() int  { return p.a.Left() }
func (p handedOn) split() (int, func(int)) {
	part := p.a.Split(0)
	return part.Given(), func(unused int) { p.a.Return(&part, unused) }
}

// copied is the naive version: every hop may use all that it was told.
type copied struct{ n int }

func (p *copied) left() int               { return p.n }
func (p *copied) split() (int, func(int)) { return p.n, func(int) {} }
func (p *copied) take() bool {
	if p.n == 0 {
		return false
	}
	p.n--
	return true
}

// graph simulates one client request through a random call graph in which
// every hop retries whatever fails for as long as it may.
type graph struct {
	rng                   *rand.Rand
	makePurse             func(n int) purse
	depth, fanOut, hops   int
	failing, losing, late float64
	retries               int
}

// run serves a request at one hop and returns whether it succeeded and what it
// reports as unused.
func (g *graph) run(depth, allowance int) (ok bool, unused int) {
	p := g.makePurse(allowance)
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
				carried, settle := p.split()
				below, back := g.run(depth+1, carried)
				switch draw := g.rng.Float64(); {
				case draw < g.losing: // No response arrives; the call may have run.
				case draw < g.losing+g.late: // The caller has given up by then.
					lateResponses = append(lateResponses, func() { settle(back) })
				default:
					succeeded = below
					settle(back)
					// A repeated or wrong response must not add anything.
					settle(back + 5)
				}
				if !succeeded && !p.take() {
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
	return ok && g.rng.Float64() >= g.failing, p.left()
}

func drawGraph(t *rapid.T, makePurse func(int) purse) (*graph, int) {
	return &graph{
		rng:       rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		makePurse: makePurse,
		depth:     rapid.IntRange(1, 15).Draw(t, "depth"),
		fanOut:    rapid.IntRange(1, 20).Draw(t, "fan-out"),
		hops:      5000,
		failing:   rapid.Float64Range(0, 0.9).Draw(t, "failing"),
		losing:    rapid.Float64Range(0, 0.5).Draw(t, "losing"),
		late:      rapid.Float64Range(0, 0.4).Draw(t, "late"),
	}, rapid.IntRange(0, 16).Draw(t, "allowance")
}

// Guards against retries that multiply from hop to hop: however calls fail, get
// lost or come late, one client request causes at most its allowance of
// retries.
func TestRetriesOfARequestNeverExceedItsAllowance(t *testing.T) {
	used := 0
	rapid.Check(t, func(t *rapid.T) {
		g, allowance := drawGraph(t, func(n int) purse { return handedOn{NewAllowance(n)} })
		_, unused := g.run(0, allowance)
		require.LessOrEqual(t, g.retries+unused, allowance)
		used += g.retries
	})
	require.Positive(t, used, "the graphs caused no retry, so nothing was checked")
}

// Guards against a property test that cannot fail: the same graphs must exceed
// the allowance when every hop uses a copy of it.
func TestACopiedAllowanceIsExceeded(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		g, allowance := drawGraph(t, func(n int) purse { return &copied{n} })
		g.run(0, allowance)
		worst = max(worst, g.retries-allowance)
	})
	t.Logf("a copied allowance was exceeded by up to %d retries", worst)
	require.Positive(t, worst)
}

// Guards against a hop near the client that is left without a retry.
func TestSplitKeepsTheLargerHalf(t *testing.T) {
	for _, c := range []struct{ left, keep, given int }{{0, 0, 0}, {1, 0, 0}, {2, 0, 1}, {3, 0, 1}, {5, 0, 2}, {5, 4, 1}, {5, 9, 0}, {4, -3, 2}} {
		a := NewAllowance(c.left)
		part := a.Split(c.keep)
		require.Equal(t, c.given, part.Given(), c)
		require.Equal(t, c.left-c.given, a.Left(), c)
	}
}

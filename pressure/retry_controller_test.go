package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// refusingService simulates a downstream service whose targets refuse a share of
// their requests at random, and chains that each call it several times. The
// refusals exceed what the retry budget can make up for.
type refusingService struct {
	rng          *rand.Rand
	refusedShare float64
	// ratio is the retry budget as a share of first attempts, tokens the unused
	// budget in retries.
	ratio, tokens float64
	retries       *RetryController
	selective     bool
}

// maxRetries is the maximum number of retries per call.
const maxRetries = 8

// call sends one call of a chain, retries it if it is refused, and reports whether
// it succeeded.
func (s *refusingService) call(importance int, position float64) bool {
	s.tokens += s.ratio
	for n := range 1 + maxRetries {
		refused := s.rng.Float64() < s.refusedShare
		s.retries.RecordAttempt(importance, n == 0, refused)
		if !refused {
			return true
		}
		if s.tokens < 1 || s.selective && !s.retries.Cutoff().Admits(position) {
			return false
		}
		s.tokens--
	}
	return false
}

// play simulates chains for some seconds and returns the shares that succeeded, of
// important chains of eight calls and of other chains of four.
func (s *refusingService) play(seconds int) (important, other float64) {
	now := time.Unix(0, 0)
	s.retries = NewRetryController(now)
	const perInterval = 10
	served := [2]float64{}
	// The calls of all chains of an interval are interleaved at random, as in a real
	// network.
	type chain struct {
		importance, left int
		position         float64
		failed           bool
	}
	intervals := seconds * int(time.Second/UpdateInterval)
	for range intervals {
		var open []*chain
		for range perInterval {
			open = append(open, &chain{0, 8, Position(0, s.rng.Float64()), false}, &chain{2, 4, Position(2, s.rng.Float64()), false})
		}
		for len(open) > 0 {
			i := s.rng.IntN(len(open))
			c := open[i]
			c.failed = !s.call(c.importance, c.position) || c.failed
			if c.left--; c.left == 0 {
				if !c.failed {
					served[min(c.importance, 1)]++
				}
				open = append(open[:i], open[i+1:]...)
			}
		}
		now = now.Add(UpdateInterval)
		earned := s.ratio * perInterval * (8 + 4) / UpdateInterval.Seconds()
		s.retries.Tick(now, func() float64 { return earned + s.tokens/5 })
	}
	return served[0] / float64(intervals*perInterval), served[1] / float64(intervals*perInterval)
}

// Guards against spreading the retry budget over more chains than it can complete.
// At 55% refusals a call takes 1.22 retries on average, so a budget of 0.2 suffices
// for a quarter of the important chains: 0.2 x 12 / (8 x 1.22). At least two thirds
// of that quarter have to succeed.
func TestScarceRetriesCompleteChains(t *testing.T) {
	for seed := range uint64(5) {
		s := &refusingService{rng: rand.New(rand.NewPCG(seed, 1)), refusedShare: 0.55, ratio: 0.2, selective: true}
		important, _ := s.play(20)
		require.Greater(t, important, 0.25*2/3, "seed %d", seed)

		naive := &refusingService{rng: rand.New(rand.NewPCG(seed, 1)), refusedShare: 0.55, ratio: 0.2}
		spread, _ := naive.play(20)
		require.Less(t, spread, important/4, "seed %d", seed)
	}
}

// Guards against suppressing retries that the budget allows: with few refusals
// every refused call is retried.
func TestAllRefusedCallsAreRetriedWithinBudget(t *testing.T) {
	for seed := range uint64(5) {
		s := &refusingService{rng: rand.New(rand.NewPCG(seed, 1)), refusedShare: 0.1, ratio: 0.2, selective: true}
		important, other := s.play(20)
		require.Greater(t, important, 0.99, "seed %d", seed)
		require.Greater(t, other, 0.99, "seed %d", seed)
	}
}

package shedding

import (
	"math/rand/v2"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

const (
	// probeInterval is the interval between updates of the threshold if there are
	// enough requests.
	probeInterval = 100 * time.Millisecond
	// minProbeRequests is the number of requests above the level from which a share
	// of a few percent can be determined.
	minProbeRequests = 50
	// maxProbeInterval ends an interval with fewer requests.
	maxProbeInterval = time.Second
	// maxProbeRanks bounds the number of ranks kept in an interval. At a share of 2%
	// it suffices for 3,200 requests above the level; beyond that the share is
	// smaller.
	maxProbeRanks = 64
)

// probe selects the requests above a level that are let through as probes: those
// whose rank is at most a threshold. The threshold is set so that, of the last
// interval's requests above the level, the wanted share was at or below it. A
// random choice would let a less important request through while a more important
// one is refused; a threshold does not.
type probe struct {
	// threshold is the largest rank that is let through.
	threshold     admission.Rank
	level         admission.Rank
	intervalStart time.Time
	// lastRequest is the time of the last request. The threshold does not change
	// between requests with the same time.
	lastRequest time.Time
	requests    int
	// smallest is a max-heap of the size smallest ranks in the interval.
	smallest [maxProbeRanks]admission.Rank
	size     int
}

// allow records a request above the level and reports whether it is let through.
func (p *probe) allow(now time.Time, rank, level admission.Rank, share float64, rng *rand.Rand) bool {
	if level < p.level || p.level == 0 {
		// The ranks were collected above a higher level, so the old threshold would
		// let too many requests through.
		*p = probe{intervalStart: now}
	}
	p.level = level
	age := now.Sub(p.intervalStart)
	if now.After(p.lastRequest) && (age >= maxProbeInterval || age >= probeInterval && p.requests >= minProbeRequests) {
		p.endInterval(now, share, rng)
	}
	p.lastRequest = now
	p.requests++
	p.addRank(rank)
	return rank <= p.threshold
}

// endInterval sets the threshold to the rank that the given share of the
// interval's requests does not exceed. The number of these requests is rounded
// randomly, so that with little traffic some intervals have no probe and the
// share is correct on average.
func (p *probe) endInterval(now time.Time, share float64, rng *rand.Rand) {
	allowed := min(int(share*float64(p.requests)+rng.Float64()), p.size)
	for p.size > allowed {
		p.dropLargest()
	}
	p.threshold = 0
	if allowed > 0 {
		p.threshold = p.smallest[0]
	}
	p.intervalStart, p.requests, p.size = now, 0, 0
}

func (p *probe) addRank(rank admission.Rank) {
	if p.size == maxProbeRanks {
		if rank >= p.smallest[0] {
			return
		}
		p.dropLargest()
	}
	i := p.size
	p.smallest[i] = rank
	p.size++
	for i > 0 && p.smallest[i] > p.smallest[(i-1)/2] {
		p.smallest[i], p.smallest[(i-1)/2] = p.smallest[(i-1)/2], p.smallest[i]
		i = (i - 1) / 2
	}
}

func (p *probe) dropLargest() {
	p.size--
	p.smallest[0] = p.smallest[p.size]
	for i := 0; ; {
		child := 2*i + 1
		if child >= p.size {
			return
		}
		if child+1 < p.size && p.smallest[child+1] > p.smallest[child] {
			child++
		}
		if p.smallest[child] <= p.smallest[i] {
			return
		}
		p.smallest[i], p.smallest[child] = p.smallest[child], p.smallest[i]
		i = child
	}
}

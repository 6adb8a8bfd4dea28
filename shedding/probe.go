package shedding

import (
	"math/rand/v2"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

const (
	// probeInterval is how often the margin is set anew, if enough requests came.
	probeInterval = 100 * time.Millisecond
	// probeSample is the number of requests above the level from which a share of
	// a few percent can be told.
	probeSample = 50
	// probeSlow ends an interval with fewer requests.
	probeSlow = time.Second
	// probeKept bounds the ranks that are remembered in an interval. At a share of
	// 2% it covers 3,200 requests above the level; beyond that the share is less.
	probeKept = 64
)

// probe decides which requests above a level are let through: those of the
// smallest ranks, up to a margin under which the wanted share of the last
// interval's requests above the level fell. A random choice would let a less
// important request through while a more important one is refused; a margin
// does not.
type probe struct {
	// upTo is the margin: ranks up to it are let through.
	upTo  admission.Rank
	level admission.Rank
	began time.Time
	// last is the time of the last request; the margin stays within one moment.
	last time.Time
	seen int
	// smallest is a heap of the smallest ranks seen in the interval, the largest
	// of them first.
	smallest [probeKept]admission.Rank
	kept     int
}

// pass records a request above the level and reports whether it is let through.
func (p *probe) pass(now time.Time, rank, level admission.Rank, share float64, rng *rand.Rand) bool {
	if level < p.level || p.level == 0 {
		// The ranks were collected above another level; under the old margin too
		// much would be let through.
		*p = probe{began: now}
	}
	p.level = level
	age := now.Sub(p.began)
	if now.After(p.last) && (age >= probeSlow || age >= probeInterval && p.seen >= probeSample) {
		p.endInterval(now, share, rng)
	}
	p.last = now
	p.seen++
	p.collect(rank)
	return rank <= p.upTo
}

// endInterval sets the margin to the rank under which the share falls. The
// number of requests under it is rounded at random, so that with little traffic
// some intervals have no probe and the share is right on average.
func (p *probe) endInterval(now time.Time, share float64, rng *rand.Rand) {
	wanted := min(int(share*float64(p.seen)+rng.Float64()), p.kept)
	for p.kept > wanted {
		p.dropLargest()
	}
	p.upTo = 0
	if wanted > 0 {
		p.upTo = p.smallest[0]
	}
	p.began, p.seen, p.kept = now, 0, 0
}

func (p *probe) collect(rank admission.Rank) {
	if p.kept == probeKept {
		if rank >= p.smallest[0] {
			return
		}
		p.dropLargest()
	}
	i := p.kept
	p.smallest[i] = rank
	p.kept++
	for i > 0 && p.smallest[i] > p.smallest[(i-1)/2] {
		p.smallest[i], p.smallest[(i-1)/2] = p.smallest[(i-1)/2], p.smallest[i]
		i = (i - 1) / 2
	}
}

func (p *probe) dropLargest() {
	p.kept--
	p.smallest[0] = p.smallest[p.kept]
	for i := 0; ; {
		child := 2*i + 1
		if child >= p.kept {
			return
		}
		if child+1 < p.kept && p.smallest[child+1] > p.smallest[child] {
			child++
		}
		if p.smallest[child] <= p.smallest[i] {
			return
		}
		p.smallest[i], p.smallest[child] = p.smallest[child], p.smallest[i]
		i = child
	}
}

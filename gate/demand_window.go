package gate

import "time"

// demandSeconds is the length of a demandWindow: that of the window in which
// repeats are bounded.
const demandSeconds = 10

// demandWindow counts arrivals by second.
type demandWindow struct {
	counts [demandSeconds]float64
	second int64
}

func (w *demandWindow) roll(now time.Time) {
	second := now.Unix()
	for n := min(second-w.second, demandSeconds); n > 0; n-- {
		w.counts[(second-n+1)%demandSeconds] = 0
	}
	w.second = max(w.second, second)
}

func (w *demandWindow) add(now time.Time) {
	w.roll(now)
	w.counts[w.second%demandSeconds]++
}

// perSecond returns the mean rate over the window.
func (w *demandWindow) perSecond(now time.Time) float64 {
	w.roll(now)
	sum := 0.0
	for _, n := range w.counts {
		sum += n
	}
	return sum / demandSeconds
}

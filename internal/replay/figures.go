package replay

import (
	"slices"
	"time"
)

const (
	// recoveryWindow is the resolution of the recovery time.
	recoveryWindow = 250 * time.Millisecond
	// recoveredShare of the former goodput counts as recovered.
	recoveredShare = 0.95
	// warmUp at the start of a trace does not count as former goodput.
	warmUp = time.Second
)

// The names of the figures that a bound may be stated for.
const (
	figureImportant  = "important-answered"
	figureGoodput    = "goodput-of-allowed"
	figureRecovery   = "recovery-ms"
	figureRetries    = "retries-per-request"
	figureDuplicates = "duplicate-effects"
	figureWrong      = "wrong-answers"
	figureNotRun     = "false-not-run"
	figureInversions = "inversions"
	figureCrashes    = "crashed-targets"
	figureLateWork   = "work-after-drain"
)

// figures are the measured values of one version, by name.
type figures map[string]float64

func (w *world) figures(t *Trace) figures {
	l := w.ledger
	f := figures{
		figureWrong: float64(l.wrong), figureInversions: float64(l.inversions),
		figureCrashes: float64(len(l.crashes)), figureLateWork: float64(l.workAfterDrain),
	}
	f[figureDuplicates], f[figureRetries], f[figureNotRun] = 0, 0, 0
	for _, n := range l.effects {
		f[figureDuplicates] += float64(n - 1)
	}
	for _, a := range l.attempts {
		f[figureRetries] = max(f[figureRetries], float64(a.retries))
		if a.notRun && a.executed {
			f[figureNotRun]++
		}
	}
	classes := map[string][2]int{}
	latencies := []time.Duration{}
	important := [2]int{}
	for _, r := range l.requests {
		c := classes[r.op.Class]
		c[1]++
		ok := !r.answeredAt.IsZero()
		if ok {
			c[0]++
		}
		classes[r.op.Class] = c
		if r.op.Important {
			important[1]++
			if ok {
				important[0]++
				latencies = append(latencies, r.answeredAt.Sub(w.start)-r.at)
			}
		}
		f["requests"]++
		f["attempts"] += float64(r.attempts)
		if ok {
			f["answered"]++
		}
	}
	f[figureImportant] = share(important)
	for name, c := range classes {
		f["answered "+name] = share(c)
	}
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		f["important p50 ms"] = milliseconds(latencies[n/2])
		f["important p99 ms"] = milliseconds(latencies[n*99/100])
	}
	if from, to := ms(t.Head.TriggerMS[0]), ms(t.Head.TriggerMS[1]); to > 0 {
		if to-from >= warmUp {
			f["goodput in trigger per s"] = float64(w.completed(from, to)) / (to - from).Seconds()
			f[figureGoodput] = float64(w.completed(from, to)) / allowed(t, from, to)
		}
		if to < ms(t.Head.DurationMS) {
			f[figureRecovery] = milliseconds(w.recovery(from, to))
		}
	}
	return f
}

func share(c [2]int) float64 {
	if c[1] == 0 {
		return 1
	}
	return float64(c[0]) / float64(c[1])
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// completed counts the requests whose response reached the client in a time.
func (w *world) completed(from, to time.Duration) int {
	n := 0
	for _, r := range w.ledger.requests {
		if at := r.answeredAt.Sub(w.start); !r.answeredAt.IsZero() && at >= from && at < to {
			n++
		}
	}
	return n
}

// recovery is the time from the end of the trigger to the end of the last
// window whose goodput is below 95% of the former level. Both are the share of
// the requests that arrived in the time and were answered, which does not vary
// with the arrivals as their number does. Demand is the same before and after.
func (w *world) recovery(from, to time.Duration) time.Duration {
	former := w.answeredShare(warmUp, from)
	last := time.Duration(0)
	for at := to; at+recoveryWindow <= ms(w.head.DurationMS); at += recoveryWindow {
		if w.answeredShare(at, at+recoveryWindow) < recoveredShare*former {
			last = at + recoveryWindow - to
		}
	}
	return last
}

func (w *world) answeredShare(from, to time.Duration) float64 {
	c := [2]int{}
	for _, r := range w.ledger.requests {
		if r.at >= from && r.at < to {
			c[1]++
			if !r.answeredAt.IsZero() {
				c[0]++
			}
		}
	}
	return share(c)
}

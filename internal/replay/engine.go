package replay

import (
	"container/heap"
	"time"
)

// defaultStart is the virtual time at which a trace without recorded key times
// begins.
var defaultStart = time.Unix(1_700_000_000, 0)

// engine runs functions in the order of virtual time; functions for the same
// time run in the order in which they were added.
type engine struct {
	// start is the virtual time at which the trace begins.
	start time.Time
	now   time.Time
	queue timers
	added uint64
}

// timer is one scheduled function.
type timer struct {
	at    int64 // nanoseconds since 1970
	order uint64
	run   func()
}

func (e *engine) after(d time.Duration, run func()) *timer {
	e.added++
	t := &timer{e.now.Add(d).UnixNano(), e.added, run}
	heap.Push(&e.queue, t)
	return t
}

// stop keeps the function from running. It accepts nil.
func (t *timer) stop() {
	if t != nil {
		t.run = nil
	}
}

// runUntil runs everything that is due up to the given time.
func (e *engine) runUntil(end time.Time) {
	for len(e.queue) > 0 && e.queue[0].at <= end.UnixNano() {
		t := heap.Pop(&e.queue).(*timer)
		if t.run != nil {
			e.now = time.Unix(0, t.at)
			t.run()
		}
	}
	e.now = end
}

// ms returns a number of milliseconds as a duration.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// elapsed is the time since the start of the trace.
func (e *engine) elapsed() time.Duration { return e.now.Sub(e.start) }

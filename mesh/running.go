package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// deadlineSpacing is the least distance between the deadlines of two requests
	// at the target. A sub-call has the deadline of the request that it belongs
	// to and no other mark, so the deadlines are what tells the requests apart.
	deadlineSpacing = 3 * time.Millisecond
	// maxShift bounds what a deadline is brought forward for that.
	maxShift = 90 * time.Millisecond
	// matchTolerance is how far the deadline of a sub-call may be from that of its
	// parent: both are in whole milliseconds and take time to travel.
	matchTolerance = 2 * time.Millisecond
)

// running holds the requests that the target is working on. It is safe for
// concurrent use.
type running struct {
	mu   sync.Mutex
	runs map[*run]struct{}
	byID map[string]*run
	// named reports that the target has been seen to name its sub-calls by the ID
	// of their parent. Deadlines are not compared any more then: a client's
	// request may have that of another one by chance.
	named bool
}

// run is one request at the target.
type run struct {
	call     *message.Call
	deadline time.Time
	started  time.Time
	// subCalls is the number of sub-calls outstanding, the first of them since
	// waitingSince; waited sums the time with any outstanding.
	subCalls     int
	waitingSince time.Time
	waited       time.Duration
	visited      map[string]uint32
	// dependencyFailed reports that a sub-call was refused or failed.
	dependencyFailed bool
}

func newRunning() *running { return &running{runs: map[*run]struct{}{}, byID: map[string]*run{}} }

// begin registers a request and returns it with the deadline to pass on.
func (r *running) begin(now time.Time, call *message.Call) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &run{call: call, started: now, deadline: call.Deadline}
	if !r.named {
		x.deadline = r.freeDeadline(call.Deadline)
	}
	r.runs[x] = struct{}{}
	r.byID[call.ID] = x
	return x
}

// freeDeadline returns a deadline at or shortly before wanted that no other run
// has.
func (r *running) freeDeadline(wanted time.Time) time.Time {
	near := make([]time.Time, 0, 8)
	for x := range r.runs {
		if d := wanted.Sub(x.deadline); d > -deadlineSpacing && d < maxShift {
			near = append(near, x.deadline)
		}
	}
	slices.SortFunc(near, func(a, b time.Time) int { return b.Compare(a) })
	at := wanted
	for _, d := range near {
		if d.Sub(at) >= deadlineSpacing || at.Sub(d) >= deadlineSpacing {
			continue
		}
		at = d.Add(-deadlineSpacing)
	}
	if wanted.Sub(at) > maxShift {
		return wanted
	}
	return at
}

// end removes a request and returns the time without sub-calls and in all.
func (r *running) end(now time.Time, x *run) (own, total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, x)
	if r.byID[x.call.ID] == x {
		delete(r.byID, x.call.ID)
	}
	if x.subCalls > 0 {
		x.waited += now.Sub(x.waitingSince)
	}
	total = now.Sub(x.started)
	return total - x.waited, total
}

// match returns the request that a sub-call belongs to, or nil, and records that
// the sub-call is outstanding. The parent's ID decides if the target names it,
// otherwise the deadline, which the sub-call shares with its parent.
func (r *running) match(now time.Time, parentID string, deadline time.Time) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := r.byID[parentID]
	r.named = r.named || best != nil
	if parentID == "" && !r.named {
		distance := matchTolerance
		for x := range r.runs {
			if d := x.deadline.Sub(deadline).Abs(); d < distance {
				best, distance = x, d
			}
		}
	}
	if best != nil {
		if best.subCalls == 0 {
			best.waitingSince = now
		}
		best.subCalls++
	}
	return best
}

// subCallEnded records the end of a sub-call and the services that it visited.
func (r *running) subCallEnded(now time.Time, x *run, visited []message.Visit, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.subCalls--
	if x.subCalls == 0 {
		x.waited += now.Sub(x.waitingSince)
	}
	x.dependencyFailed = x.dependencyFailed || failed
	if x.visited == nil {
		x.visited = map[string]uint32{}
	}
	for _, v := range visited {
		x.visited[v.Service] += v.Runs
	}
}

// outcome returns where the sub-calls of a request ran, and whether one failed.
func (r *running) outcome(x *run) (visited []message.Visit, dependencyFailed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, runs := range x.visited {
		visited = append(visited, message.Visit{Service: service, Runs: runs})
	}
	return visited, x.dependencyFailed
}

// len returns the number of requests at the target.
func (r *running) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// minDeadlineSpacing is the least difference between the deadlines of two
	// requests at the target. A sub-call may carry nothing but the deadline of
	// its parent, so deadlines must identify requests.
	minDeadlineSpacing = 3 * time.Millisecond
	// maxDeadlineShift bounds by how much a deadline is moved forward to make
	// it unique.
	maxDeadlineShift = 90 * time.Millisecond
	// deadlineTolerance is the largest difference between the deadlines of a
	// sub-call and of its parent. Both are sent in whole milliseconds, and
	// the transfer takes time.
	deadlineTolerance = 2 * time.Millisecond
)

// inFlight holds the requests that the target is processing. It is safe
// for concurrent use.
type inFlight struct {
	mu   sync.Mutex
	runs map[*run]struct{}
	byID map[string]*run
	// parentIDsSeen reports that the target has sent a sub-call with the ID of
	// its parent. From then on deadlines are not compared, since a client's
	// request may have the deadline of another one by chance.
	parentIDsSeen bool
}

// run is one execution of a request at the target.
type run struct {
	call     *message.Call
	deadline time.Time
	started  time.Time
	// subCalls is the number of outstanding sub-calls, subCallsSince the time
	// from which there has been at least one. subCallTime is the total time
	// with at least one outstanding.
	subCalls      int
	subCallsSince time.Time
	subCallTime   time.Duration
	runsByService map[string]uint32
	// dependencyFailed reports that a sub-call was refused or failed.
	dependencyFailed bool
	// detached reports that the address has passed to a target of another service.
	detached bool
}

func newInFlight() *inFlight { return &inFlight{runs: map[*run]struct{}{}, byID: map[string]*run{}} }

// add registers a request and returns it with the deadline to send to the
// target.
func (r *inFlight) add(now time.Time, call *message.Call) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := &run{call: call, started: now, deadline: call.Deadline}
	if !r.parentIDsSeen {
		entry.deadline = r.uniqueDeadline(call.Deadline)
	}
	r.runs[entry] = struct{}{}
	r.byID[call.ID] = entry
	return entry
}

// uniqueDeadline returns wanted, or a deadline at most maxDeadlineShift earlier
// that differs from those of the other requests. If there is none it returns
// wanted.
func (r *inFlight) uniqueDeadline(wanted time.Time) time.Time {
	near := make([]time.Time, 0, 8)
	for entry := range r.runs {
		if earlier := wanted.Sub(entry.deadline); earlier > -minDeadlineSpacing && earlier < maxDeadlineShift {
			near = append(near, entry.deadline)
		}
	}
	slices.SortFunc(near, func(a, b time.Time) int { return b.Compare(a) })
	free := wanted
	for _, taken := range near {
		if taken.Sub(free) >= minDeadlineSpacing || free.Sub(taken) >= minDeadlineSpacing {
			continue
		}
		free = taken.Add(-minDeadlineSpacing)
	}
	if wanted.Sub(free) > maxDeadlineShift {
		return wanted
	}
	return free
}

// remove removes a request and returns its time without sub-calls and its total
// time.
func (r *inFlight) remove(now time.Time, entry *run) (ownTime, totalTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runs, entry)
	if r.byID[entry.call.ID] == entry {
		delete(r.byID, entry.call.ID)
	}
	if entry.subCalls > 0 {
		entry.subCallTime += now.Sub(entry.subCallsSince)
	}
	totalTime = now.Sub(entry.started)
	return totalTime - entry.subCallTime, totalTime
}

// matchSubCall returns the parent of a sub-call, or nil, and records that the
// sub-call is outstanding. The parent is found by its ID if the target sends
// it, otherwise by the deadline, which a sub-call shares with its parent.
func (r *inFlight) matchSubCall(now time.Time, parentID string, deadline time.Time) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	parent := r.byID[parentID]
	r.parentIDsSeen = r.parentIDsSeen || parent != nil
	if parentID == "" && !r.parentIDsSeen {
		distance := deadlineTolerance
		for entry := range r.runs {
			if d := entry.deadline.Sub(deadline).Abs(); d < distance && !entry.detached {
				parent, distance = entry, d
			}
		}
	}
	if parent != nil {
		if parent.subCalls == 0 {
			parent.subCallsSince = now
		}
		parent.subCalls++
	}
	return parent
}

// endSubCall records the end of a sub-call and the services that it visited.
func (r *inFlight) endSubCall(now time.Time, entry *run, visited []message.Visit, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.subCalls--
	if entry.subCalls == 0 {
		entry.subCallTime += now.Sub(entry.subCallsSince)
	}
	entry.dependencyFailed = entry.dependencyFailed || failed
	if entry.runsByService == nil {
		entry.runsByService = map[string]uint32{}
	}
	for _, v := range visited {
		entry.runsByService[v.Service] += v.Runs
	}
}

// subCallOutcome returns the services that the sub-calls of a request visited,
// and whether one of them failed.
func (r *inFlight) subCallOutcome(entry *run) (visited []message.Visit, dependencyFailed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, runs := range entry.runsByService {
		visited = append(visited, message.Visit{Service: service, Runs: runs})
	}
	return visited, entry.dependencyFailed
}

// detach marks the requests in progress as those of an earlier target. A request with
// the deadline of one of them is not taken for its sub-call.
func (r *inFlight) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry := range r.runs {
		entry.detached = true
	}
}

// startedBefore returns the requests at the target that were sent before t.
func (r *inFlight) startedBefore(t time.Time) (calls []*message.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry := range r.runs {
		if entry.started.Before(t) {
			calls = append(calls, entry.call)
		}
	}
	return calls
}

// count returns the number of requests at the target.
func (r *inFlight) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

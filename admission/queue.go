package admission

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Queue admits requests to one target under a concurrency limit, in strict
// order of rank. Within a rank the oldest goes first, and under a standing
// queue the newest, whose caller is the most likely to be still waiting.
//
// Two rules hold for classes of different importance. A request is never
// admitted while a more important one waits. And a request is never refused
// for lack of capacity (shed, queue-timeout) while a less important one waits:
// a full queue evicts the least important request, and when a request reaches
// the queue timeout all less important ones are shed before it. A request whose
// deadline can no longer be met is dropped alone, since room would not help it
// and a caller with short deadlines must not be able to empty the queue.
//
// All operations take constant time except for the expiry heap, which is
// logarithmic in the number of waiting requests, per decision returned.
//
// A Queue is not safe for concurrent use.
type Queue struct {
	config  Config
	limit   int
	running map[ID]struct{}
	waiting map[ID]int32
	slab    []waiter
	free    []int32
	buckets [MaxRank + 1]bucket
	ranks   rankSet
	heap    []int32
	// emptySince is when the queue was last seen empty.
	emptySince time.Time
	level      levelTracker
	out        []Decision
}

// NewQueue returns an empty queue with the given concurrency limit.
func NewQueue(config Config, limit int, now time.Time) *Queue {
	return &Queue{config: config.withDefaults(), limit: max(limit, 0),
		running: map[ID]struct{}{}, waiting: map[ID]int32{},
		slab: make([]waiter, 1), emptySince: now, level: newLevelTracker(now)}
}

// Configure replaces the settings. Requests that wait keep their time bounds.
func (q *Queue) Configure(now time.Time, config Config) []Decision {
	q.config = config.withDefaults()
	q.expire(now)
	for len(q.waiting) > q.config.MaxWaiting {
		q.drop(now, q.worst(now), kind.Shed)
	}
	return q.finish(now)
}

// Offer asks for a slot and returns the decisions that follow, in order: for
// this request, unless it waits, and for requests that it displaces or whose
// time is up.
func (q *Queue) Offer(now time.Time, r Request) []Decision {
	q.expire(now)
	r.Rank = r.Rank.clamp()
	timeout := q.config.QueueTimeout
	if r.MaxWait > 0 {
		timeout = r.MaxWait
	}
	w := waiter{id: r.ID, rank: r.Rank, arrived: now, expires: now.Add(timeout), cause: kind.QueueTimeout, ownBound: r.MaxWait > 0}
	if !r.Deadline.IsZero() {
		latestStart := r.Deadline.Add(-r.ServiceTime)
		if latestStart.Before(now) {
			// Not counted for the level: the request would fail on an idle target too.
			q.out = append(q.out, Decision{ID: r.ID, Rank: r.Rank, Refused: kind.DeadlineExpired})
			return q.finish(now)
		}
		if latestStart.Before(w.expires) {
			w.expires, w.cause = latestStart, kind.DeadlineExpired
		}
	}
	if len(q.running) < q.limit && len(q.waiting) == 0 {
		q.admit(now, w)
		return q.finish(now)
	}
	if !w.expires.After(now) {
		// It could have started at this moment only.
		q.refuse(now, w, w.cause)
		return q.finish(now)
	}
	if len(q.waiting) >= q.config.MaxWaiting {
		worst := q.worst(now)
		// Within a rank the arrival is the newest, which goes first only under a
		// standing queue.
		if rank := q.slab[worst].rank; r.Rank > rank || r.Rank == rank && !q.standing(now) {
			q.refuse(now, w, kind.Shed)
			return q.finish(now)
		}
		q.drop(now, worst, kind.Shed)
	}
	q.push(now, w)
	return q.finish(now)
}

// Release gives back the slot of a request that was admitted, and returns what
// follows. It ignores a request that holds no slot.
func (q *Queue) Release(now time.Time, id ID) []Decision {
	delete(q.running, id)
	return q.Expire(now)
}

// Cancel removes a request whose caller has left: a waiting one without a
// decision of its own, a running one like Release.
func (q *Queue) Cancel(now time.Time, id ID) []Decision {
	if at, ok := q.waiting[id]; ok {
		q.unlink(now, at)
	}
	return q.Release(now, id)
}

// Expire refuses the requests whose waiting time is up.
func (q *Queue) Expire(now time.Time) []Decision {
	q.expire(now)
	return q.finish(now)
}

// SetLimit replaces the concurrency limit. A lower limit interrupts nothing
// that runs.
func (q *Queue) SetLimit(now time.Time, n int) []Decision {
	q.limit = max(n, 0)
	return q.Expire(now)
}

// NextExpiry returns when Expire has to be called, or false when nothing waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.heap) == 0 {
		return time.Time{}, false
	}
	return q.slab[q.heap[0]].expires, true
}

// Level returns the admission level: a request whose rank is above it would be
// refused now. MaxRank refuses nothing. The queue itself does not refuse by
// level; it is meant for callers.
func (q *Queue) Level(now time.Time) Rank {
	q.level.roll(now, len(q.waiting))
	return q.level.level
}

// Stats returns the state of the queue.
func (q *Queue) Stats(now time.Time) Stats {
	return Stats{Limit: q.limit, Running: len(q.running), Waiting: len(q.waiting),
		Level: q.Level(now), Standing: q.standing(now), EmptySince: q.emptySince}
}

// expire drops what is due. Requests that are less important than one that
// reached the queue timeout are shed first.
func (q *Queue) expire(now time.Time) {
	q.level.roll(now, len(q.waiting))
	for len(q.heap) > 0 && !q.slab[q.heap[0]].expires.After(now) {
		at := q.heap[0]
		if w := &q.slab[at]; w.cause == kind.QueueTimeout && !w.ownBound {
			for worst := q.worst(now); q.slab[worst].rank.Importance() > w.rank.Importance(); worst = q.worst(now) {
				q.drop(now, worst, kind.Shed)
			}
		}
		q.drop(now, at, q.slab[at].cause)
	}
}

// finish admits as many requests as there are slots and returns all decisions
// made since the last call.
func (q *Queue) finish(now time.Time) []Decision {
	for len(q.running) < q.limit && len(q.waiting) > 0 {
		at := q.best(now)
		w := q.slab[at]
		q.unlink(now, at)
		q.admit(now, w)
	}
	out := q.out
	q.out = nil
	return out
}

func (q *Queue) admit(now time.Time, w waiter) {
	q.running[w.id] = struct{}{}
	q.level.admitted(w.rank)
	q.out = append(q.out, Decision{ID: w.id, Rank: w.rank, Waited: now.Sub(w.arrived)})
}

func (q *Queue) refuse(now time.Time, w waiter, k kind.Kind) {
	q.level.refused(w.rank)
	q.out = append(q.out, Decision{ID: w.id, Rank: w.rank, Refused: k, Waited: now.Sub(w.arrived)})
}

func (q *Queue) drop(now time.Time, at int32, k kind.Kind) {
	w := q.slab[at]
	q.unlink(now, at)
	q.refuse(now, w, k)
}

// standing reports whether the queue has not been empty for StandingInterval.
func (q *Queue) standing(now time.Time) bool {
	return len(q.waiting) > 0 && now.Sub(q.emptySince) >= StandingInterval
}

// best returns the waiter that is admitted next.
func (q *Queue) best(now time.Time) int32 {
	b := &q.buckets[q.ranks.min()]
	if q.standing(now) {
		return b.newest
	}
	return b.oldest
}

// worst returns the waiter that is evicted next.
func (q *Queue) worst(now time.Time) int32 {
	b := &q.buckets[q.ranks.max()]
	if q.standing(now) {
		return b.oldest
	}
	return b.newest
}

func (q *Queue) push(now time.Time, w waiter) {
	if len(q.waiting) == 0 {
		q.emptySince = now
	}
	var at int32
	if n := len(q.free); n > 0 {
		at, q.free = q.free[n-1], q.free[:n-1]
	} else {
		at = int32(len(q.slab))
		q.slab = append(q.slab, waiter{})
	}
	b := &q.buckets[w.rank]
	w.older = b.newest
	q.slab[at] = w
	if b.newest != 0 {
		q.slab[b.newest].newer = at
	} else {
		b.oldest = at
		q.ranks.add(w.rank)
	}
	b.newest = at
	q.waiting[w.id] = at
	q.heapPush(at)
	q.level.sawWaiting = true
}

func (q *Queue) unlink(now time.Time, at int32) {
	w := q.slab[at]
	q.heapRemove(at)
	b := &q.buckets[w.rank]
	if w.older != 0 {
		q.slab[w.older].newer = w.newer
	} else {
		b.oldest = w.newer
	}
	if w.newer != 0 {
		q.slab[w.newer].older = w.older
	} else {
		b.newest = w.older
	}
	if b.oldest == 0 {
		q.ranks.remove(w.rank)
	}
	delete(q.waiting, w.id)
	q.free = append(q.free, at)
	if len(q.waiting) == 0 {
		q.emptySince = now
		q.level.sawEmpty = true
	}
}

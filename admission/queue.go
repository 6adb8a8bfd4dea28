package admission

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Queue admits requests to one target under a concurrency limit and, if the target has
// announced one, a limit of requests per second, in strict order of rank. Within a rank
// the order is first in, first out. Under a standing queue it is last in, first out,
// since the caller of the newest request is the most likely to be still waiting.
//
// Two invariants hold for classes of different importance. A request is never
// admitted while a more important one waits. And a request is never refused
// for lack of capacity (shed, queue-timeout) while a less important one waits:
// a full queue evicts the least important request, and when a request reaches
// the queue timeout all less important ones are shed before it. A request whose
// deadline can no longer be met is refused without shedding others, since free
// capacity would not help it and a caller with short deadlines must not be able
// to empty the queue. The same holds for a request that the rate would keep waiting too
// long behind those of at least its importance: for maxRateWait, or for its own time if
// no other target takes more.
//
// Operations take constant time per decision returned, plus an update of the
// expiry heap that is logarithmic in the number of waiting requests.
//
// A Queue is not safe for concurrent use.
type Queue struct {
	config  Config
	limit   int
	rate    rateLimit
	running map[ID]struct{}
	waiting map[ID]int32
	// waitingByImportance counts the waiting requests.
	waitingByImportance [policy.MaxImportance + 1]int
	slab                []waiter
	free                []int32
	buckets             [MaxRank + 1]bucket
	ranks               rankSet
	heap                []int32
	// emptySince is when the queue became empty or, while requests wait, when it
	// stopped being empty.
	emptySince time.Time
	level      levelTracker
	decisions  []Decision
}

// NewQueue returns an empty queue with the given concurrency limit.
func NewQueue(config Config, limit int, now time.Time) *Queue {
	return &Queue{config: config.withDefaults(), limit: max(limit, 0),
		running: map[ID]struct{}{}, waiting: map[ID]int32{},
		slab: make([]waiter, 1), emptySince: now, level: newLevelTracker(now)}
}

// Configure replaces the settings. Requests that already wait keep their expiry
// times.
func (q *Queue) Configure(now time.Time, config Config) []Decision {
	q.config = config.withDefaults()
	q.expire(now)
	for len(q.waiting) > q.config.MaxWaiting {
		q.drop(now, q.nextToEvict(now), kind.Shed)
	}
	return q.admitAndFlush(now)
}

// Offer requests a slot and returns the resulting decisions in order: for this
// request, unless it waits, and for requests that it evicts or that have expired.
func (q *Queue) Offer(now time.Time, r Request) []Decision {
	q.expire(now)
	r.Rank = r.Rank.clamp()
	timeout := q.config.QueueTimeout
	if r.MaxWait > 0 {
		timeout = r.MaxWait
	}
	w := waiter{id: r.ID, rank: r.Rank, arrived: now, expires: now.Add(timeout), cause: kind.QueueTimeout, callerBound: r.MaxWait > 0}
	if !r.Deadline.IsZero() {
		latestStart := r.Deadline.Add(-r.ServiceTime)
		if latestStart.Before(now) {
			// The request does not count towards the level, since it would fail on an
			// idle target too.
			q.decisions = append(q.decisions, Decision{ID: r.ID, Rank: r.Rank, Refused: kind.DeadlineExpired})
			return q.admitAndFlush(now)
		}
		if latestStart.Before(w.expires) {
			w.expires, w.cause = latestStart, kind.DeadlineExpired
		}
	}
	if len(q.running) < q.limit && len(q.waiting) == 0 && q.rate.allows(now) {
		q.admit(now, w)
		return q.admitAndFlush(now)
	}
	if q.rate.perSecond > 0 {
		if w.cause == kind.QueueTimeout {
			w.cause, w.callerBound = kind.RateLimited, true
		}
		if waitUntil := now.Add(maxRateWait); !r.WaitForRate && waitUntil.Before(w.expires) {
			w.expires, w.cause = waitUntil, kind.RateLimited
		}
		if now.Add(q.rate.wait(now, q.waitingBefore(r.Rank))).After(w.expires) {
			q.refuse(now, w, kind.RateLimited)
			return q.admitAndFlush(now)
		}
	}
	if !w.expires.After(now) {
		// The request could have started only now.
		q.refuse(now, w, w.cause)
		return q.admitAndFlush(now)
	}
	if len(q.waiting) >= q.config.MaxWaiting {
		evictee := q.nextToEvict(now)
		// The arriving request is the newest of its rank, and the newest has
		// precedence only under a standing queue.
		if rank := q.slab[evictee].rank; r.Rank > rank || r.Rank == rank && !q.standing(now) {
			q.refuse(now, w, kind.Shed)
			return q.admitAndFlush(now)
		}
		q.drop(now, evictee, kind.Shed)
	}
	q.enqueue(now, w)
	return q.admitAndFlush(now)
}

// Release frees the slot of an admitted request and returns the resulting
// decisions. It ignores a request that holds no slot.
func (q *Queue) Release(now time.Time, id ID) []Decision {
	delete(q.running, id)
	return q.Expire(now)
}

// Cancel removes a request whose caller has left. A waiting request is removed
// without a decision; a running one is treated as by Release.
func (q *Queue) Cancel(now time.Time, id ID) []Decision {
	if index, ok := q.waiting[id]; ok {
		q.remove(now, index)
	}
	return q.Release(now, id)
}

// Expire refuses the requests that have expired.
func (q *Queue) Expire(now time.Time) []Decision {
	q.expire(now)
	return q.admitAndFlush(now)
}

// SetLimit replaces the concurrency limit. A lower limit does not interrupt
// running requests.
func (q *Queue) SetLimit(now time.Time, n int) []Decision {
	q.limit = max(n, 0)
	return q.Expire(now)
}

// SetRate replaces the limit of admitted requests per second; 0 removes it. A rate below
// MinRatePerSecond counts as that.
func (q *Queue) SetRate(now time.Time, perSecond float64) []Decision {
	q.rate.set(now, perSecond)
	return q.Expire(now)
}

// NextAdmission returns when Expire has to be called since the rate allows the next
// request, or false if no request waits for that.
func (q *Queue) NextAdmission(now time.Time) (time.Time, bool) {
	if q.rate.perSecond == 0 || len(q.waiting) == 0 || len(q.running) >= q.limit {
		return time.Time{}, false
	}
	return now.Add(q.rate.wait(now, 0)), true
}

// waitingBefore returns the number of waiting requests of at least the importance of a
// rank.
func (q *Queue) waitingBefore(r Rank) (n int) {
	for _, waiting := range q.waitingByImportance[:r.Importance()+1] {
		n += waiting
	}
	return n
}

// NextExpiry returns the time at which Expire has to be called, or false when no
// request waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.heap) == 0 {
		return time.Time{}, false
	}
	return q.slab[q.heap[0]].expires, true
}

// Level returns the admission level: a request whose rank is above it would be
// refused now. MaxRank refuses nothing. The queue itself does not refuse by
// level; the level is meant for callers.
func (q *Queue) Level(now time.Time) Rank {
	q.level.advance(now, len(q.waiting))
	return q.level.level
}

// Stats returns the state of the queue.
func (q *Queue) Stats(now time.Time) Stats {
	return Stats{Limit: q.limit, Running: len(q.running), Waiting: len(q.waiting),
		Level: q.Level(now), Standing: q.standing(now), EmptySince: q.emptySince}
}

// expire refuses the expired requests. Before a request that reached the queue
// timeout, rather than its MaxWait or deadline, all less important ones are shed.
func (q *Queue) expire(now time.Time) {
	q.level.advance(now, len(q.waiting))
	for len(q.heap) > 0 && !q.slab[q.heap[0]].expires.After(now) {
		index := q.heap[0]
		if w := &q.slab[index]; w.cause == kind.QueueTimeout && !w.callerBound {
			for evictee := q.nextToEvict(now); q.slab[evictee].rank.Importance() > w.rank.Importance(); evictee = q.nextToEvict(now) {
				q.drop(now, evictee, kind.Shed)
			}
		}
		q.drop(now, index, q.slab[index].cause)
	}
}

// admitAndFlush admits as many requests as there are free slots and returns all
// decisions made since the last call.
func (q *Queue) admitAndFlush(now time.Time) []Decision {
	for len(q.running) < q.limit && len(q.waiting) > 0 && q.rate.allows(now) {
		index := q.nextToAdmit(now)
		w := q.slab[index]
		q.remove(now, index)
		q.admit(now, w)
	}
	decisions := q.decisions
	q.decisions = nil
	return decisions
}

func (q *Queue) admit(now time.Time, w waiter) {
	q.running[w.id] = struct{}{}
	q.rate.take()
	q.level.recordAdmitted(w.rank)
	q.decisions = append(q.decisions, Decision{ID: w.id, Rank: w.rank, Waited: now.Sub(w.arrived)})
}

func (q *Queue) refuse(now time.Time, w waiter, k kind.Kind) {
	q.level.recordRefused(w.rank)
	q.decisions = append(q.decisions, Decision{ID: w.id, Rank: w.rank, Refused: k, Waited: now.Sub(w.arrived)})
}

// drop removes a waiting request and refuses it.
func (q *Queue) drop(now time.Time, index int32, k kind.Kind) {
	w := q.slab[index]
	q.remove(now, index)
	q.refuse(now, w, k)
}

// standing reports whether the queue has not been empty for StandingInterval.
func (q *Queue) standing(now time.Time) bool {
	return len(q.waiting) > 0 && now.Sub(q.emptySince) >= StandingInterval
}

// nextToAdmit returns the waiter that is admitted next.
func (q *Queue) nextToAdmit(now time.Time) int32 {
	b := &q.buckets[q.ranks.min()]
	if q.standing(now) {
		return b.newest
	}
	return b.oldest
}

// nextToEvict returns the waiter that is evicted next.
func (q *Queue) nextToEvict(now time.Time) int32 {
	b := &q.buckets[q.ranks.max()]
	if q.standing(now) {
		return b.oldest
	}
	return b.newest
}

func (q *Queue) enqueue(now time.Time, w waiter) {
	if len(q.waiting) == 0 {
		q.emptySince = now
	}
	var index int32
	if n := len(q.free); n > 0 {
		index, q.free = q.free[n-1], q.free[:n-1]
	} else {
		index = int32(len(q.slab))
		q.slab = append(q.slab, waiter{})
	}
	b := &q.buckets[w.rank]
	w.older = b.newest
	q.slab[index] = w
	if b.newest != 0 {
		q.slab[b.newest].newer = index
	} else {
		b.oldest = index
		q.ranks.add(w.rank)
	}
	b.newest = index
	q.waiting[w.id] = index
	q.waitingByImportance[w.rank.Importance()]++
	q.heapPush(index)
	q.level.sawWaiting = true
}

func (q *Queue) remove(now time.Time, index int32) {
	w := q.slab[index]
	q.heapRemove(index)
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
	q.waitingByImportance[w.rank.Importance()]--
	q.free = append(q.free, index)
	if len(q.waiting) == 0 {
		q.emptySince = now
		q.level.sawEmpty = true
	}
}

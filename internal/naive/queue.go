package naive

// Queue runs requests first in first out. Slots run at once; the others wait,
// as long as no more than Connections are open.
type Queue[T any] struct {
	Slots, Connections int

	running int
	waiting []T
}

// Offer asks for a slot. start reports that the request runs now; when neither
// result is true it waits.
func (q *Queue[T]) Offer(item T) (start, refused bool) {
	switch {
	case q.running < q.Slots:
		q.running++
		return true, false
	case q.running+len(q.waiting) >= q.Connections:
		return false, true
	}
	q.waiting = append(q.waiting, item)
	return false, false
}

// Release ends a request that runs and returns the one that runs next.
func (q *Queue[T]) Release() (next T, ok bool) {
	if len(q.waiting) == 0 {
		q.running--
		return next, false
	}
	next, q.waiting = q.waiting[0], q.waiting[1:]
	return next, true
}

// Clear removes all requests, as when the target dies, and returns those that
// waited.
func (q *Queue[T]) Clear() []T {
	waiting := q.waiting
	q.running, q.waiting = 0, nil
	return waiting
}

// Len returns the number of requests that run or wait.
func (q *Queue[T]) Len() int { return q.running + len(q.waiting) }

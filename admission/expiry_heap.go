package admission

// The expiry heap is a binary heap of slab indexes ordered by waiter.expires.
// container/heap would need an interface call per comparison.

func (q *Queue) heapPush(at int32) {
	q.slab[at].heapAt = int32(len(q.heap))
	q.heap = append(q.heap, at)
	q.heapUp(len(q.heap) - 1)
}

func (q *Queue) heapRemove(at int32) {
	i, last := int(q.slab[at].heapAt), len(q.heap)-1
	q.heapSwap(i, last)
	q.heap = q.heap[:last]
	if i < last {
		q.heapDown(i)
		q.heapUp(i)
	}
}

func (q *Queue) heapUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.heapLess(i, parent) {
			return
		}
		q.heapSwap(i, parent)
		i = parent
	}
}

func (q *Queue) heapDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if child+1 < len(q.heap) && q.heapLess(child+1, child) {
			child++
		}
		if !q.heapLess(child, i) {
			return
		}
		q.heapSwap(i, child)
		i = child
	}
}

func (q *Queue) heapLess(i, j int) bool {
	return q.slab[q.heap[i]].expires.Before(q.slab[q.heap[j]].expires)
}

func (q *Queue) heapSwap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.slab[q.heap[i]].heapAt = int32(i)
	q.slab[q.heap[j]].heapAt = int32(j)
}

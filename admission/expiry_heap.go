package admission

// The expiry heap is a binary heap of slab indexes ordered by waiter.expires.
// container/heap would need an interface call per comparison.

func (q *Queue) heapPush(index int32) {
	q.slab[index].heapIndex = int32(len(q.heap))
	q.heap = append(q.heap, index)
	q.heapSiftUp(len(q.heap) - 1)
}

func (q *Queue) heapRemove(index int32) {
	i, last := int(q.slab[index].heapIndex), len(q.heap)-1
	q.heapSwap(i, last)
	q.heap = q.heap[:last]
	if i < last {
		q.heapSiftDown(i)
		q.heapSiftUp(i)
	}
}

func (q *Queue) heapSiftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.heapLess(i, parent) {
			return
		}
		q.heapSwap(i, parent)
		i = parent
	}
}

func (q *Queue) heapSiftDown(i int) {
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
	q.slab[q.heap[i]].heapIndex = int32(i)
	q.slab[q.heap[j]].heapIndex = int32(j)
}

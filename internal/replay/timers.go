package replay

// timers is a heap of timers.
type timers []*timer

func (q timers) Len() int { return len(q) }

func (q timers) Less(i, j int) bool {
	if q[i].at == q[j].at {
		return q[i].order < q[j].order
	}
	return q[i].at < q[j].at
}

func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timers) Push(x any) { *q = append(*q, x.(*timer)) }

func (q *timers) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

package naive

// RoundRobin chooses targets in turn. The zero value starts at the first.
type RoundRobin struct {
	next int
}

// Next returns the next index below n for which usable returns true, or -1.
func (r *RoundRobin) Next(n int, usable func(int) bool) int {
	for range n {
		i := r.next % n
		r.next = (i + 1) % n
		if usable(i) {
			return i
		}
	}
	return -1
}

package retry

// Allowance is the number of retries that one hop of a call chain may still use or
// pass on to the next hop. It must not be copied, because two copies would permit
// the same retry twice; go vet reports copies. The zero value permits no retry.
//
// An Allowance is not safe for concurrent use.
type Allowance struct {
	_         noCopy
	remaining int
}

// NewAllowance returns an allowance of n retries; a negative n counts as 0.
func NewAllowance(n int) *Allowance {
	a := &Allowance{}
	a.Set(n)
	return a
}

// Set sets the remaining retries to n; a negative n counts as 0. It initialises an
// Allowance that is a field of another struct.
func (a *Allowance) Set(n int) { a.remaining = max(n, 0) }

// Remaining returns how many retries this hop may still use or pass on.
func (a *Allowance) Remaining() int { return a.remaining }

// Take consumes one retry at this hop. It returns false if none remains.
func (a *Allowance) Take() bool {
	if a.remaining == 0 {
		return false
	}
	a.remaining--
	return true
}

// Split removes the smaller half from the allowance and returns it as the share
// for one call to the next hop. At least keep retries remain at this hop. The hop
// nearer to the client keeps the larger half, because a retry there can choose
// among more targets.
func (a *Allowance) Split(keep int) Share {
	given := max(min(a.remaining/2, a.remaining-max(keep, 0)), 0)
	a.remaining -= given
	return Share{retries: given, outstanding: given > 0}
}

// Reclaim adds the retries that the response to a call reports as unused back to
// the allowance and returns their number. That is at most what the share held, and
// 0 for a share that was reclaimed before. Without a response the share is lost:
// the callee may have used its retries.
func (a *Allowance) Reclaim(s *Share, unused int) int {
	if !s.outstanding {
		return 0
	}
	s.outstanding = false
	reclaimed := min(max(unused, 0), s.retries)
	a.remaining += reclaimed
	return reclaimed
}

package retry

// Allowance is the number of retries that one hop of a chain may still use or
// hand on. It is a quantity and must not be copied: two copies would allow the
// same retry twice. go vet reports copies. The zero value allows none.
//
// An Allowance is not safe for concurrent use.
type Allowance struct {
	_    noCopy
	left int
}

// NewAllowance returns an allowance of n retries; a negative n counts as 0.
func NewAllowance(n int) *Allowance {
	a := &Allowance{}
	a.Set(n)
	return a
}

// Set replaces what is left by n; a negative n counts as 0. It is meant for an
// Allowance that is a field of another value.
func (a *Allowance) Set(n int) { a.left = max(n, 0) }

// Left returns how many retries this hop may still use or hand on.
func (a *Allowance) Left() int { return a.left }

// Take uses one retry at this hop. It reports false, and changes nothing, when
// none is left.
func (a *Allowance) Take() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Split removes the smaller half from the allowance and returns it as the part
// that goes with a call to the next hop. At least keep retries stay here. The
// hop nearer to the client keeps the larger half, because a repeat there can
// choose among more targets.
func (a *Allowance) Split(keep int) Part {
	given := max(min(a.left/2, a.left-max(keep, 0)), 0)
	a.left -= given
	return Part{given: given, open: given > 0}
}

// Return adds what the response to a call left unused to the allowance and
// settles the part. It adds at most what the part held, and nothing the second
// time. It returns how much was added. Without a response Return is not
// called and the part is lost.
func (a *Allowance) Return(p *Part, unused int) int {
	if !p.open {
		return 0
	}
	p.open = false
	back := min(max(unused, 0), p.given)
	a.left += back
	return back
}

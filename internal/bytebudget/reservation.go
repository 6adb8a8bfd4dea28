package bytebudget

import (
	"runtime"
	"sync/atomic"
)

// Reservation is the part of a Budget that one body takes up. A nil Reservation
// is empty.
type Reservation struct {
	budget *Budget
	held   *atomic.Int64
}

// newReservation returns an empty reservation. What it holds is also returned
// when the garbage collector finds it unreachable, so that a body that is dropped
// on its way does not shrink the budget for good.
func newReservation(b *Budget) *Reservation {
	r := &Reservation{budget: b, held: new(atomic.Int64)}
	runtime.AddCleanup(r, func(held *atomic.Int64) { b.used.Add(-held.Swap(0)) }, r.held)
	return r
}

// grow adds n bytes to the reservation and reports whether the budget had them.
func (r *Reservation) grow(n int64) bool {
	if !r.budget.reserve(n) {
		return false
	}
	r.held.Add(n)
	return true
}

// shrink returns n bytes to the budget.
func (r *Reservation) shrink(n int64) {
	r.held.Add(-n)
	r.budget.used.Add(-n)
}

// Release returns all bytes to the budget. Further calls have no effect.
func (r *Reservation) Release() {
	if r != nil {
		r.budget.used.Add(-r.held.Swap(0))
	}
}

// Package bytebudget bounds the memory that a process holds for the bodies of
// messages, over all connections together.
package bytebudget

import "sync/atomic"

// Budget is a number of bytes that reservations share. It is safe for concurrent
// use. A nil Budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of the given number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Limit returns the size of the budget in bytes, or 0 if it has no limit.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// reserve takes n bytes, or none if fewer are left.
func (b *Budget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

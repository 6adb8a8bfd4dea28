package routing

import (
	"math/rand/v2"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Table holds one node's view of the targets of one service. It is not safe
// for concurrent use.
type Table struct {
	options Options
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	o.applyDefaults()
	return &Table{options: o}
}

// Update adds a target or changes what the membership says about it.
func (t *Table) Update(now time.Time, m Member) {}

// Remove forgets a target, such as one that has left. Calls to it that are
// still in flight may be ended with Done; that has no effect.
func (t *Table) Remove(now time.Time, id TargetID) {}

// Pick chooses a target for one call. The caller calls Start with the target
// once the call begins. The error is a *kind.Error of kind no-target, or for a
// pinned target also draining or starting.
func (t *Table) Pick(rng *rand.Rand, now time.Time, in PickInput) (TargetID, error) {
	return "", kind.New(kind.NoTarget, "no target is ready")
}

// Start records that a call to a target begins. Each Start is followed by one
// Done.
func (t *Table) Start(now time.Time, id TargetID) {}

// Done records the end of a call to a target.
func (t *Table) Done(now time.Time, id TargetID, r Result) {}

// Report records a load that arrived by another way than a response.
func (t *Table) Report(now time.Time, id TargetID, load Load) {}

// Usable returns the number of targets that may get new work.
func (t *Table) Usable(now time.Time) int { return 0 }

// Snapshot returns the view of every target, ordered by ID, for a state dump.
func (t *Table) Snapshot(now time.Time) []TargetStatus { return nil }

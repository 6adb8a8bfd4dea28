package shedding

import (
	"math/rand/v2"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

// Table holds the levels and paths that one entry node knows. It is not safe
// for concurrent use.
type Table struct{ config Config }

// NewTable returns an empty table.
func NewTable(config Config) *Table { return &Table{config: config.withDefaults()} }

// Observe records the admission level of a target of a service as of the time
// at: now for the target that answered, earlier for levels that came with the
// response from further down. A level of 0 carries no information and is
// ignored.
func (t *Table) Observe(service, target string, level admission.Rank, at time.Time) {}

// Forget removes a target that has left.
func (t *Table) Forget(service, target string) {}

// Learn records the services that a completed chain visited. Call it for
// complete responses only: a chain that was refused half-way did not show its
// whole path.
func (t *Table) Learn(service, class string, visited []string) {}

// Check decides whether a request is refused at the entry.
func (t *Table) Check(r Request, now time.Time, rng *rand.Rand) Verdict { return Verdict{} }

// Level returns the level above which the service refuses, or 0 when no target
// of it has a level that is recent enough.
func (t *Table) Level(service string, now time.Time) admission.Rank { return 0 }

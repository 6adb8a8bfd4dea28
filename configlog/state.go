// Package configlog defines the records of the config stream and folds them,
// that is, applies them in order of offset, into the configuration in force.
// Whether a change is accepted depends only on the records before it, so all
// nodes that have folded up to the same offset hold the same state. The package
// does no I/O and does not read the clock.
package configlog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Stream is the name of the log stream that carries configuration records.
const Stream = "config"

// Limits on the state and on records. They must be the same on all nodes: nodes
// with different limits would derive different states from the same log.
const (
	// IDWindowOffsets is the number of offsets for which a change ID is kept to
	// detect duplicates. At 1,100 changes per day it covers more than three days.
	IDWindowOffsets = 4096
	// MaxResults is the number of results that are kept.
	MaxResults = 256
	// MaxServices limits the number of services. Deleted services count, since
	// their revisions are kept so that they never restart at 1.
	MaxServices = 256
	// MaxChangeBytes limits the size of a change record. It is chosen so that a
	// snapshot of MaxServices services fits into one record of the log service.
	MaxChangeBytes = 16 << 10
	// MaxSnapshotBytes limits the size of an encoded snapshot or delta.
	MaxSnapshotBytes = 12 << 20
	// MaxAuthorBytes limits the length of the author of a change.
	MaxAuthorBytes = 128
)

// State is the configuration after folding the config stream up to an offset.
// It is not safe for concurrent use while Fold changes it; a state that no
// longer changes may be read by any number of goroutines.
type State struct {
	offset   uint64
	services map[policy.ServiceName]serviceState
	// ids is ordered by offset and holds the change IDs of the last
	// IDWindowOffsets offsets.
	ids []changeID
	// results is ordered by offset.
	results []Result
	// coveredOffset is the offset of the state in the newest snapshot in the log,
	// and snapshotTime is when the log service appended that snapshot.
	coveredOffset uint64
	snapshotTime  time.Time
}

// NewState returns the state before the first record, at offset 0.
func NewState() *State { return &State{services: map[policy.ServiceName]serviceState{}} }

// Offset returns the offset of the next record to fold; every record below it
// is reflected in the state.
func (s *State) Offset() uint64 { return s.offset }

// Policy returns the policy in force, or nil if the service has none. The
// caller must not modify it.
func (s *State) Policy(name policy.ServiceName) *policy.Policy { return s.services[name].policy }

// Policies returns all policies in force, ordered by customer and service.
func (s *State) Policies() []*policy.Policy {
	var all []*policy.Policy
	for _, name := range s.sortedNames() {
		if p := s.services[name].policy; p != nil {
			all = append(all, p)
		}
	}
	return all
}

// sortedNames returns the names of all services, including deleted ones,
// ordered by customer and service.
func (s *State) sortedNames() []policy.ServiceName {
	return slices.SortedFunc(maps.Keys(s.services), func(a, b policy.ServiceName) int {
		if c := strings.Compare(a.Customer, b.Customer); c != 0 {
			return c
		}
		return strings.Compare(a.Service, b.Service)
	})
}

// Revision returns the base that the next change of the service must name: 0
// for a service never seen, and the revision of the delete for a deleted one.
func (s *State) Revision(name policy.ServiceName) uint64 { return s.services[name].revision }

// Results returns the results of recent changes, oldest first.
func (s *State) Results() []Result { return slices.Clone(s.results) }

// ResultOf returns the result of the first record with the given change ID. It
// reports false if the ID is unknown or its result is no longer kept.
func (s *State) ResultOf(id string) (Result, bool) {
	offset, ok := s.ChangeOffset(id)
	if !ok {
		return Result{}, false
	}
	for _, r := range s.results {
		if r.Offset == offset {
			return r, true
		}
	}
	return Result{}, false
}

// ChangeOffset returns the offset of the first record with the change ID. It
// reports false if there is none within the last IDWindowOffsets offsets.
func (s *State) ChangeOffset(id string) (offset uint64, ok bool) {
	u, ok := parseID(id)
	if !ok {
		return 0, false
	}
	for i := range s.ids {
		if s.ids[i].id == u {
			return s.ids[i].offset, true
		}
	}
	return 0, false
}

// LastSnapshot returns the offset of the state in the newest snapshot in the
// log and when the log service appended that snapshot. The time is zero if no
// snapshot was folded.
func (s *State) LastSnapshot() (offset uint64, at time.Time) { return s.coveredOffset, s.snapshotTime }

// Clone returns a copy that can be folded independently.
func (s *State) Clone() *State {
	c := *s
	c.services, c.ids, c.results = maps.Clone(s.services), slices.Clone(s.ids), slices.Clone(s.results)
	return &c
}

func (s *State) advance() {
	s.offset++
	s.prune()
}

// prune removes expired change IDs and excess results. It depends only on the
// offset and the order of the records, so that a state restored from a snapshot
// keeps the same IDs and results as one that was folded record by record.
func (s *State) prune() {
	for len(s.ids) > 0 && s.offset-s.ids[0].offset >= IDWindowOffsets {
		s.ids = s.ids[1:]
	}
	if extra := len(s.results) - MaxResults; extra > 0 {
		s.results = s.results[extra:]
	}
}

// Package configlog defines the records of the config stream and folds them
// into the configuration in force. Whether a change is accepted depends only
// on the records before it, so all nodes that have folded the same offset hold
// the same state. The package is pure.
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

// Bounds of the state and of records. They are part of the fold: nodes with
// different bounds would disagree about the same log.
const (
	// IDWindowOffsets is the number of offsets for which a change ID is kept to
	// detect duplicates. At 1,100 changes per day it covers more than three days.
	IDWindowOffsets = 4096
	// MaxResults is how many results of changes are kept.
	MaxResults = 256
	// MaxServices bounds the services, including deleted ones, whose revisions
	// must be remembered so that they never start again at 1.
	MaxServices = 256
	// MaxChangeBytes bounds a change record. MaxServices times this bound keeps
	// a snapshot within the record size of the log service.
	MaxChangeBytes = 16 << 10
	// MaxSnapshotBytes bounds a snapshot.
	MaxSnapshotBytes = 12 << 20
	// MaxAuthorBytes bounds the author of a change.
	MaxAuthorBytes = 128
)

// State is the configuration after folding the config stream up to an offset.
// It is not safe for concurrent use while Fold changes it; a state that no
// longer changes may be read by any number of goroutines.
type State struct {
	offset   uint64
	services map[policy.ServiceName]service
	// ids is ordered by offset and pruned to the window.
	ids []changeID
	// results is ordered by offset.
	results []Result
	// covered and snapshotTime describe the newest snapshot in the log.
	covered      uint64
	snapshotTime time.Time
}

// NewState returns the state before the first record, at offset 0.
func NewState() *State { return &State{services: map[policy.ServiceName]service{}} }

// Offset returns the offset of the next record to fold; every record below it
// is reflected in the state.
func (s *State) Offset() uint64 { return s.offset }

// Policy returns the policy in force, or nil if the service has none. The
// caller must not modify it.
func (s *State) Policy(name policy.ServiceName) *policy.Policy { return s.services[name].policy }

// Policies returns all policies in force, ordered by customer and service.
func (s *State) Policies() []*policy.Policy {
	var all []*policy.Policy
	for _, name := range s.names() {
		if p := s.services[name].policy; p != nil {
			all = append(all, p)
		}
	}
	return all
}

// names returns the names of all services, also deleted ones, in order.
func (s *State) names() []policy.ServiceName {
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

// ResultOf returns the recent result that decided the change with the given
// ID. It reports false for an unknown ID and for one whose result is no longer
// kept.
func (s *State) ResultOf(id string) (Result, bool) {
	first, ok := s.Seen(id)
	if !ok {
		return Result{}, false
	}
	for _, r := range s.results {
		if r.Offset == first {
			return r, true
		}
	}
	return Result{}, false
}

// Seen returns the offset of the first record with the change ID, if it is
// within the window.
func (s *State) Seen(id string) (offset uint64, ok bool) {
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

// Snapshot returns the offset that the newest snapshot in the log covers and
// when the log service appended it. The time is zero if none was folded.
func (s *State) Snapshot() (covers uint64, appended time.Time) { return s.covered, s.snapshotTime }

// Clone returns a copy that can be folded independently.
func (s *State) Clone() *State {
	c := *s
	c.services, c.ids, c.results = maps.Clone(s.services), slices.Clone(s.ids), slices.Clone(s.results)
	return &c
}

// advance increments the offset and prunes expired change IDs and results.
func (s *State) advance() {
	s.offset++
	s.prune()
}

// prune depends only on the offset and the order of the records, so that a
// state restored from a snapshot remembers the same changes.
func (s *State) prune() {
	for len(s.ids) > 0 && s.offset-s.ids[0].offset >= IDWindowOffsets {
		s.ids = s.ids[1:]
	}
	if extra := len(s.results) - MaxResults; extra > 0 {
		s.results = s.results[extra:]
	}
}

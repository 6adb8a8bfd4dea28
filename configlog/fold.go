package configlog

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// Fold applies one record of the config stream to s and reports what it did.
// Records must be passed in ascending order of offset. An invalid record does
// not stop the fold: it is rejected and the offset moves past it. After a
// SnapshotApplied result, continue with the record at s.Offset().
func Fold(s *State, r logservice.Record) Result {
	result := Result{Offset: r.Offset, Time: time.UnixMilli(r.Time.UnixMilli()).UTC()}
	if r.Offset < s.offset {
		result.Outcome = AlreadyFolded
		return result
	}
	inOrder := r.Offset == s.offset
	var header struct {
		Schema json.RawMessage `json:"schema"`
		Kind   string          `json:"kind"`
	}
	err := json.Unmarshal(r.Data, &header)
	if err == nil && header.Kind == kindSnapshot {
		foldSnapshot(s, r, &result)
	} else if !inOrder {
		result.Outcome = Gap
	} else {
		foldChange(s, r, string(header.Schema), &result)
	}
	if inOrder {
		if result.Outcome != SnapshotIgnored {
			s.results = append(s.results, result)
		}
		s.advance()
	}
	return result
}

// foldSnapshot validates a snapshot record. It replaces the state only to fill
// a gap; otherwise it only records the offset and time of the newest snapshot.
func foldSnapshot(s *State, r logservice.Record, result *Result) {
	snapshot, err := DecodeSnapshot(r.Data)
	switch {
	case err != nil:
		result.reject(Malformed, kind.Of(err).Fields)
	case snapshot.offset > r.Offset:
		result.reject(Malformed, []kind.FieldError{{Field: "offset", Value: fmt.Sprint(snapshot.offset), Allowed: "at most the offset of the record"}})
	case r.Offset == s.offset:
		result.Outcome = SnapshotIgnored
		// A delayed duplicate of an older snapshot must not hide that the newest
		// one is about to expire.
		if snapshot.offset >= s.coveredOffset {
			s.coveredOffset, s.snapshotTime = snapshot.offset, result.Time
		}
	case snapshot.offset > s.offset:
		result.Outcome = SnapshotApplied
		*s = *snapshot
	default:
		result.Outcome = Gap
	}
	if r.Offset > s.offset && result.Outcome == Rejected {
		result.Outcome, result.Reason, result.Faults = Gap, "", nil
	}
}

// foldChange validates a change record at s.offset and applies it if accepted.
func foldChange(s *State, r logservice.Record, schema string, result *Result) {
	if isInteger(schema) && schema != "1" && schema != "2" {
		result.reject(UnknownSchema, []kind.FieldError{{Field: "schema", Value: schema, Allowed: "1 or 2"}})
		return
	}
	change, faults := DecodeRecord(r.Data)
	if change != nil {
		faults = change.checkHeader()
		result.Schema, result.ID, result.Op = change.Schema, truncate(change.ID), Op(truncate(string(change.Op)))
		result.Author, result.Base = truncate(change.Author), change.Base
	}
	if len(faults) > 0 {
		result.reject(Malformed, faults)
		return
	}
	result.Name, result.Author = change.Name, change.Author
	current := s.services[change.Name]
	result.Revision = current.revision
	if firstOffset, ok := s.ChangeOffset(change.ID); ok {
		result.Outcome, result.First = Duplicate, firstOffset
		return
	}
	id, _ := parseID(change.ID)
	// The ID is also kept if the change is rejected: a delayed duplicate must not
	// be accepted after the author was told that the change was rejected.
	s.ids = append(s.ids, changeID{id: id, offset: r.Offset})
	next := serviceState{revision: current.revision + 1, changedOffset: r.Offset}
	switch {
	case change.Base != current.revision:
		result.reject(StaleBase, nil)
		return
	case change.Op == Delete && current.policy == nil:
		result.reject(NoSuchService, nil)
		return
	case current.revision == 0 && len(s.services) >= MaxServices:
		result.reject(TooManyServices, nil)
		return
	case change.Op == Put:
		next.policy = change.Policy.apply(change.Schema, change.Name, current.policy)
		next.policy.Revision = next.revision
		if faults := checkPolicy(next.policy); len(faults) > 0 {
			result.reject(InvalidPolicy, faults)
			return
		}
	}
	s.services[change.Name] = next
	result.Outcome, result.Revision = Accepted, next.revision
}

// isInteger reports whether the JSON text is an integer without a fraction.
func isInteger(text string) bool {
	var n json.Number
	if json.Unmarshal([]byte(text), &n) != nil || text == "" || text[0] == '"' {
		return false
	}
	for _, c := range text {
		if (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

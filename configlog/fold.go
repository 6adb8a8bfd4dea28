package configlog

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// Fold applies one record of the config stream to s and reports what it did.
// Records must be passed in ascending order of offset. Invalid records never
// stop the fold: they are rejected and the offset moves past them. After a
// SnapshotApplied result, continue with the record at s.Offset().
func Fold(s *State, r logservice.Record) Result {
	out := Result{Offset: r.Offset, Time: time.UnixMilli(r.Time.UnixMilli()).UTC()}
	if r.Offset < s.offset {
		out.Outcome = AlreadyFolded
		return out
	}
	inOrder := r.Offset == s.offset
	var head struct {
		Schema json.RawMessage `json:"schema"`
		Kind   string          `json:"kind"`
	}
	err := json.Unmarshal(r.Data, &head)
	if err == nil && head.Kind == kindSnapshot {
		foldSnapshot(s, r, &out)
	} else if !inOrder {
		out.Outcome = Gap
	} else {
		foldChange(s, r, string(head.Schema), &out)
	}
	if inOrder {
		if out.Outcome != SnapshotIgnored {
			s.results = append(s.results, out)
		}
		s.advance()
	}
	return out
}

// foldSnapshot validates a snapshot record. It replaces the state only to fill
// a gap; otherwise it only records the offset and time of the newest snapshot.
func foldSnapshot(s *State, r logservice.Record, out *Result) {
	covered, err := DecodeSnapshot(r.Data)
	switch {
	case err != nil:
		out.reject(Malformed, kind.Of(err).Fields)
	case covered.offset > r.Offset:
		out.reject(Malformed, []kind.FieldError{{Field: "offset", Value: fmt.Sprint(covered.offset), Allowed: "at most the offset of the record"}})
	case r.Offset == s.offset:
		out.Outcome = SnapshotIgnored
		// A delayed duplicate of an older snapshot must not hide that the newest
		// one is about to expire.
		if covered.offset >= s.covered {
			s.covered, s.snapshotTime = covered.offset, out.Time
		}
	case covered.offset > s.offset:
		out.Outcome = SnapshotApplied
		*s = *covered
	default:
		out.Outcome = Gap
	}
	if r.Offset > s.offset && out.Outcome == Rejected {
		out.Outcome, out.Reason, out.Faults = Gap, "", nil
	}
}

// foldChange validates a change record at s.offset and applies it if accepted.
func foldChange(s *State, r logservice.Record, schema string, out *Result) {
	if isInteger(schema) && schema != "1" && schema != "2" {
		out.reject(UnknownSchema, []kind.FieldError{{Field: "schema", Value: schema, Allowed: "1 or 2"}})
		return
	}
	change, faults := DecodeRecord(r.Data)
	if change != nil {
		faults = change.checkHeader()
		out.Schema, out.ID, out.Op = change.Schema, clip(change.ID), Op(clip(string(change.Op)))
		out.Author, out.Base = clip(change.Author), change.Base
	}
	if len(faults) > 0 {
		out.reject(Malformed, faults)
		return
	}
	out.Name, out.Author = change.Name, change.Author
	current := s.services[change.Name]
	out.Revision = current.revision
	if first, ok := s.Seen(change.ID); ok {
		out.Outcome, out.First = Duplicate, first
		return
	}
	id, _ := parseID(change.ID)
	// A rejected change is remembered as well: a delayed repeat must not be
	// accepted after its author was told that it was rejected.
	s.ids = append(s.ids, changeID{id: id, offset: r.Offset})
	next := service{revision: current.revision + 1, changed: r.Offset}
	switch {
	case change.Base != current.revision:
		out.reject(StaleBase, nil)
		return
	case change.Op == Delete && current.policy == nil:
		out.reject(NoSuchService, nil)
		return
	case current.revision == 0 && len(s.services) >= MaxServices:
		out.reject(TooManyServices, nil)
		return
	case change.Op == Put:
		next.policy = change.Policy.apply(change.Schema, change.Name, current.policy)
		next.policy.Revision = next.revision
		if faults := checkPolicy(next.policy); len(faults) > 0 {
			out.reject(InvalidPolicy, faults)
			return
		}
	}
	s.services[change.Name] = next
	out.Outcome, out.Revision = Accepted, next.revision
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

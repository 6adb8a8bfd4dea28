package configlog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

const (
	kindSnapshot = "snapshot"
	kindDelta    = "delta"
	// changeIDBytes is the encoded size of a change ID with its offset.
	changeIDBytes = 16 + 8
)

// snapshotWire is the JSON form of a snapshot and of a delta.
type snapshotWire struct {
	Schema int    `json:"schema"`
	Kind   string `json:"kind"`
	Offset uint64 `json:"offset"`
	// Since is the lowest offset whose changes a delta contains.
	Since uint64          `json:"since,omitempty"`
	State json.RawMessage `json:"state"`
	// Sum is the xxhash checksum of kind, offset, since and state, in hexadecimal.
	Sum string `json:"sum"`
}

type stateWire struct {
	Services []serviceWire `json:"services,omitempty"`
	// IDs holds, per change ID, the UUID (16 bytes) and the offset of its first
	// record (8 bytes, big endian).
	IDs          []byte    `json:"ids,omitempty"`
	Results      []Result  `json:"results,omitempty"`
	Covered      uint64    `json:"covered"`
	SnapshotTime time.Time `json:"snapshot_time"`
}

type serviceWire struct {
	policy.ServiceName
	Revision uint64 `json:"revision"`
	Changed  uint64 `json:"changed"`
	// Policy is absent for a deleted service.
	Policy *PolicyBody `json:"policy,omitempty"`
}

// EncodeSnapshot returns the whole state as a snapshot record, for the log and
// for peers. The record contains an xxhash checksum.
func EncodeSnapshot(s *State) []byte { return encodeState(s, kindSnapshot, 0) }

// EncodeDelta returns the changes from offset since on, for a peer that has
// folded all records below it. A delta is much smaller than a snapshot and is not
// valid as a log record.
func EncodeDelta(s *State, since uint64) []byte { return encodeState(s, kindDelta, since) }

func encodeState(s *State, recordKind string, since uint64) []byte {
	content := stateWire{Covered: s.coveredOffset, SnapshotTime: s.snapshotTime}
	for _, name := range s.sortedNames() {
		v := s.services[name]
		if v.changedOffset < since {
			continue
		}
		wire := serviceWire{ServiceName: name, Revision: v.revision, Changed: v.changedOffset}
		if v.policy != nil {
			wire.Policy = NewPolicyBody(v.policy)
		}
		content.Services = append(content.Services, wire)
	}
	for _, id := range s.ids {
		if id.offset >= since {
			content.IDs = binary.BigEndian.AppendUint64(append(content.IDs, id.id[:]...), id.offset)
		}
	}
	for _, r := range s.results {
		if r.Offset >= since {
			content.Results = append(content.Results, r)
		}
	}
	envelope := snapshotWire{Schema: Schema2, Kind: recordKind, Offset: s.offset, Since: since, State: mustMarshal(content)}
	envelope.Sum = envelope.sum()
	return mustMarshal(envelope)
}

func (w *snapshotWire) sum() string {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s %d %d ", w.Kind, w.Offset, w.Since)
	_, _ = d.Write(w.State)
	return fmt.Sprintf("%016x", d.Sum64())
}

// DecodeSnapshot decodes and validates a snapshot made by EncodeSnapshot. The
// error has kind malformed.
func DecodeSnapshot(data []byte) (*State, error) {
	w, s, err := decodeState(data)
	if err == nil && w.Kind != kindSnapshot {
		err = malformedError("kind", w.Kind, kindSnapshot)
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Adopt returns the newer state that results from a peer's snapshot or delta.
// It returns s itself if the offset would not increase. The error has kind
// malformed, also for a delta that starts after s.Offset().
func Adopt(s *State, data []byte) (*State, error) {
	w, received, err := decodeState(data)
	switch {
	case err != nil:
		return s, err
	case received.offset <= s.offset:
		return s, nil
	case w.Kind == kindSnapshot:
		return received, nil
	case w.Since > s.offset:
		return s, malformedError("since", strconv.FormatUint(w.Since, 10), fmt.Sprintf("at most %d, the offset of the local state", s.offset))
	}
	next := s.Clone()
	for name, v := range received.services {
		next.services[name] = v
	}
	for len(next.ids) > 0 && next.ids[len(next.ids)-1].offset >= w.Since {
		next.ids = next.ids[:len(next.ids)-1]
	}
	next.ids = append(next.ids, received.ids...)
	for len(next.results) > 0 && next.results[len(next.results)-1].Offset >= w.Since {
		next.results = next.results[:len(next.results)-1]
	}
	next.results = append(next.results, received.results...)
	next.offset, next.coveredOffset, next.snapshotTime = received.offset, received.coveredOffset, received.snapshotTime
	next.prune()
	if !next.consistent() {
		return s, malformedError("state", "", "changes that are consistent with the local state")
	}
	return next, nil
}

func malformedError(field, value, allowed string) error {
	e := kind.New(kind.Malformed, "configuration snapshot")
	e.Fields = []kind.FieldError{{Field: field, Value: truncate(value), Allowed: allowed}}
	return e
}

// decodeState decodes and validates a snapshot or a delta. Every field is
// validated, since anyone who may append to the stream can write a snapshot.
func decodeState(data []byte) (*snapshotWire, *State, error) {
	w := &snapshotWire{}
	if len(data) > MaxSnapshotBytes {
		return nil, nil, malformedError("text", strconv.Itoa(len(data))+" bytes", "at most "+strconv.Itoa(MaxSnapshotBytes)+" bytes")
	}
	if err := json.Unmarshal(data, w); err != nil {
		return nil, nil, malformedError("text", err.Error(), "a snapshot in JSON")
	}
	switch {
	case w.Schema != Schema2:
		return nil, nil, malformedError("schema", strconv.Itoa(w.Schema), "2")
	case w.Kind != kindSnapshot && w.Kind != kindDelta || w.Kind == kindSnapshot && w.Since != 0:
		return nil, nil, malformedError("kind", w.Kind, "snapshot or delta; only a delta has since")
	case w.Sum != w.sum():
		return nil, nil, malformedError("sum", w.Sum, w.sum())
	}
	var content stateWire
	if err := json.Unmarshal(w.State, &content); err != nil {
		return nil, nil, malformedError("state", err.Error(), "a state")
	}
	s := &State{offset: w.Offset, services: map[policy.ServiceName]serviceState{}, results: content.Results, coveredOffset: content.Covered, snapshotTime: content.SnapshotTime}
	for _, v := range content.Services {
		next := serviceState{revision: v.Revision, changedOffset: v.Changed}
		if v.Policy != nil {
			next.policy = v.Policy.apply(Schema2, v.ServiceName, nil)
			next.policy.Revision = v.Revision
			if faults := next.policy.Validate(); len(faults) > 0 {
				return nil, nil, malformedError("state.services."+v.String(), faults[0].Error(), "a valid policy")
			}
		}
		if _, repeated := s.services[v.ServiceName]; repeated || v.Revision == 0 || v.Changed >= w.Offset {
			return nil, nil, malformedError("state.services."+truncate(v.String()), strconv.FormatUint(v.Revision, 10), "one entry with a revision from before the snapshot")
		}
		s.services[v.ServiceName] = next
	}
	for i := 0; i+changeIDBytes <= len(content.IDs); i += changeIDBytes {
		id := changeID{offset: binary.BigEndian.Uint64(content.IDs[i+16:])}
		copy(id.id[:], content.IDs[i:])
		s.ids = append(s.ids, id)
	}
	if !s.consistent() || len(content.IDs)%changeIDBytes != 0 {
		return nil, nil, malformedError("state", "", "change IDs and results in order, within bounds and before the snapshot's offset")
	}
	return w, s, nil
}

// consistent reports whether s could be the result of a fold: offsets are
// ascending and below the state's offset, and no limit is exceeded.
func (s *State) consistent() bool {
	ok := len(s.services) <= MaxServices && len(s.results) <= MaxResults && s.coveredOffset <= s.offset
	for i, id := range s.ids {
		ok = ok && id.offset < s.offset && s.offset-id.offset < IDWindowOffsets && (i == 0 || s.ids[i-1].offset < id.offset)
	}
	for i, r := range s.results {
		ok = ok && r.Offset < s.offset && (i == 0 || s.results[i-1].Offset < r.Offset)
	}
	return ok
}

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
	// Since is the lowest offset that a delta describes.
	Since uint64          `json:"since,omitempty"`
	State json.RawMessage `json:"state"`
	// Sum is the xxhash of kind, offset, since and state.
	Sum string `json:"sum"`
}

type stateWire struct {
	Services []serviceWire `json:"services,omitempty"`
	// IDs holds 16 bytes of UUID and 8 bytes of offset per change ID.
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

// EncodeSnapshot returns the whole state as a snapshot record, the form used
// in the log and between peers. It carries an xxhash sum.
func EncodeSnapshot(s *State) []byte { return encode(s, kindSnapshot, 0) }

// EncodeDelta returns what has changed since the given offset, for a peer that
// has folded at least that far. It is much smaller than a snapshot, and it is
// not valid as a log record.
func EncodeDelta(s *State, since uint64) []byte { return encode(s, kindDelta, since) }

func encode(s *State, form string, since uint64) []byte {
	w := stateWire{Covered: s.covered, SnapshotTime: s.snapshotTime}
	for _, name := range s.names() {
		v := s.services[name]
		if v.changed < since {
			continue
		}
		wire := serviceWire{ServiceName: name, Revision: v.revision, Changed: v.changed}
		if v.policy != nil {
			wire.Policy = BodyOf(v.policy)
		}
		w.Services = append(w.Services, wire)
	}
	for _, id := range s.ids {
		if id.offset >= since {
			w.IDs = binary.BigEndian.AppendUint64(append(w.IDs, id.id[:]...), id.offset)
		}
	}
	for _, r := range s.results {
		if r.Offset >= since {
			w.Results = append(w.Results, r)
		}
	}
	out := snapshotWire{Schema: Schema2, Kind: form, Offset: s.offset, Since: since, State: mustMarshal(w)}
	out.Sum = out.sum()
	return mustMarshal(out)
}

func (w *snapshotWire) sum() string {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s %d %d ", w.Kind, w.Offset, w.Since)
	_, _ = d.Write(w.State)
	return fmt.Sprintf("%016x", d.Sum64())
}

// DecodeSnapshot checks and reads a snapshot made by EncodeSnapshot. The error
// has kind malformed.
func DecodeSnapshot(data []byte) (*State, error) {
	w, s, err := decode(data)
	if err == nil && w.Kind != kindSnapshot {
		err = malformed("kind", w.Kind, kindSnapshot)
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Adopt returns the newer state that a snapshot or delta from a peer describes.
// It returns s unchanged if the offset would not move forward. The error has
// kind malformed; a delta that starts after s.Offset() is malformed for s.
func Adopt(s *State, data []byte) (*State, error) {
	w, from, err := decode(data)
	switch {
	case err != nil:
		return s, err
	case from.offset <= s.offset:
		return s, nil
	case w.Kind == kindSnapshot:
		return from, nil
	case w.Since > s.offset:
		return s, malformed("since", strconv.FormatUint(w.Since, 10), fmt.Sprintf("at most %d, the offset folded here", s.offset))
	}
	next := s.Clone()
	for name, v := range from.services {
		next.services[name] = v
	}
	for len(next.ids) > 0 && next.ids[len(next.ids)-1].offset >= w.Since {
		next.ids = next.ids[:len(next.ids)-1]
	}
	next.ids = append(next.ids, from.ids...)
	for len(next.results) > 0 && next.results[len(next.results)-1].Offset >= w.Since {
		next.results = next.results[:len(next.results)-1]
	}
	next.results = append(next.results, from.results...)
	next.offset, next.covered, next.snapshotTime = from.offset, from.covered, from.snapshotTime
	next.prune()
	if !next.consistent() {
		return s, malformed("state", "", "changes that fit the state folded here")
	}
	return next, nil
}

func malformed(field, value, allowed string) error {
	e := kind.New(kind.Malformed, "configuration snapshot")
	e.Fields = []kind.FieldError{{Field: field, Value: clip(value), Allowed: allowed}}
	return e
}

// decode reads both forms. Everything is checked, since a snapshot can come
// from anyone who may append to the stream.
func decode(data []byte) (*snapshotWire, *State, error) {
	w := &snapshotWire{}
	if len(data) > MaxSnapshotBytes {
		return nil, nil, malformed("text", strconv.Itoa(len(data))+" bytes", "at most "+strconv.Itoa(MaxSnapshotBytes)+" bytes")
	}
	if err := json.Unmarshal(data, w); err != nil {
		return nil, nil, malformed("text", err.Error(), "a snapshot in JSON")
	}
	switch {
	case w.Schema != Schema2:
		return nil, nil, malformed("schema", strconv.Itoa(w.Schema), "2")
	case w.Kind != kindSnapshot && w.Kind != kindDelta || w.Kind == kindSnapshot && w.Since != 0:
		return nil, nil, malformed("kind", w.Kind, "snapshot or delta; only a delta has since")
	case w.Sum != w.sum():
		return nil, nil, malformed("sum", w.Sum, w.sum())
	}
	var sw stateWire
	if err := json.Unmarshal(w.State, &sw); err != nil {
		return nil, nil, malformed("state", err.Error(), "a state")
	}
	s := &State{offset: w.Offset, services: map[policy.ServiceName]service{}, results: sw.Results, covered: sw.Covered, snapshotTime: sw.SnapshotTime}
	for _, v := range sw.Services {
		next := service{revision: v.Revision, changed: v.Changed}
		if v.Policy != nil {
			next.policy = v.Policy.apply(Schema2, v.ServiceName, nil)
			next.policy.Revision = v.Revision
			if faults := next.policy.Validate(); len(faults) > 0 {
				return nil, nil, malformed("state.services."+v.String(), faults[0].Error(), "a valid policy")
			}
		}
		if _, repeated := s.services[v.ServiceName]; repeated || v.Revision == 0 || v.Changed >= w.Offset {
			return nil, nil, malformed("state.services."+clip(v.String()), strconv.FormatUint(v.Revision, 10), "one entry with a revision from before the snapshot")
		}
		s.services[v.ServiceName] = next
	}
	for i := 0; i+changeIDBytes <= len(sw.IDs); i += changeIDBytes {
		id := changeID{offset: binary.BigEndian.Uint64(sw.IDs[i+16:])}
		copy(id.id[:], sw.IDs[i:])
		s.ids = append(s.ids, id)
	}
	if !s.consistent() || len(sw.IDs)%changeIDBytes != 0 {
		return nil, nil, malformed("state", "", "change IDs and results in order, within bounds and before the snapshot's offset")
	}
	return w, s, nil
}

// consistent reports whether s could be the result of a fold: offsets ascend
// and lie below the state's own, and all bounds are kept.
func (s *State) consistent() bool {
	ok := len(s.services) <= MaxServices && len(s.results) <= MaxResults && s.covered <= s.offset
	for i, id := range s.ids {
		ok = ok && id.offset < s.offset && s.offset-id.offset < IDWindowOffsets && (i == 0 || s.ids[i-1].offset < id.offset)
	}
	for i, r := range s.results {
		ok = ok && r.Offset < s.offset && (i == 0 || s.results[i-1].Offset < r.Offset)
	}
	return ok
}

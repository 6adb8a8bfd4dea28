package quarantine

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/quarantine/internal/wire"
)

const (
	// MaxFingerprints bounds the fingerprints of one entry, so that its
	// encoding fits into a gossip broadcast of 512 bytes.
	MaxFingerprints = 56
	// BroadcastKind marks the gossip broadcasts that carry entries: the ID is
	// Entry.ID, the payload Entry.Encode and the expiry that of the entry.
	BroadcastKind uint32 = 1
	// MaxLife bounds how long after its time an entry may expire.
	MaxLife = 24 * time.Hour
)

// Entry is what one process reports to all others. It never changes once made:
// a process reports further events in further entries.
type Entry struct {
	// Reporter and Seq together identify the entry.
	Reporter, Seq uint64
	// At is when the event took place, by the reporter's clock, and Expiry
	// when the entry loses its effect. Both are in whole milliseconds.
	At, Expiry time.Time
	// Crashed holds requests that were in flight when a target died.
	Crashed []Fingerprint
	// Completed holds suspects that ran to their end.
	Completed []Fingerprint
}

// ID names the entry within gossip broadcasts.
func (e Entry) ID() string { return fmt.Sprintf("%016x-%d", e.Reporter, e.Seq) }

// valid reports whether e keeps the bounds.
func (e Entry) valid() bool {
	n := len(e.Crashed) + len(e.Completed)
	return e.Reporter != 0 && n > 0 && n <= MaxFingerprints &&
		e.Expiry.After(e.At) && e.Expiry.Sub(e.At) <= MaxLife
}

// Encode returns the encoding of e.
func (e Entry) Encode() []byte {
	w := &wire.Report{Reporter: e.Reporter, Seq: e.Seq, AtMs: e.At.UnixMilli(), ExpiryMs: e.Expiry.UnixMilli()}
	for _, f := range e.Crashed {
		w.Crashed = append(w.Crashed, uint64(f))
	}
	for _, f := range e.Completed {
		w.Completed = append(w.Completed, uint64(f))
	}
	b, err := proto.Marshal(w)
	if err != nil {
		// The message has no field whose encoding can fail.
		panic("quarantine: encoding an entry: " + err.Error())
	}
	return b
}

// Decode parses and checks the encoding of an entry. It returns a *kind.Error
// of kind malformed.
func Decode(b []byte) (Entry, error) {
	var w wire.Report
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, &w); err != nil {
		return Entry{}, kind.New(kind.Malformed, "quarantine entry is not a protobuf message of the expected type")
	}
	e := Entry{Reporter: w.Reporter, Seq: w.Seq, At: time.UnixMilli(w.AtMs), Expiry: time.UnixMilli(w.ExpiryMs)}
	// Times far outside any clock would overflow in comparisons.
	const maxMillis = 1 << 52
	if w.AtMs < 0 || w.AtMs > maxMillis || w.ExpiryMs < 0 || w.ExpiryMs > maxMillis {
		return Entry{}, kind.New(kind.Malformed, "quarantine entry has a time out of bounds")
	}
	if len(w.Crashed)+len(w.Completed) > MaxFingerprints {
		return Entry{}, kind.New(kind.Malformed, "quarantine entry has too many fingerprints")
	}
	for _, f := range w.Crashed {
		e.Crashed = append(e.Crashed, Fingerprint(f))
	}
	for _, f := range w.Completed {
		e.Completed = append(e.Completed, Fingerprint(f))
	}
	if !e.valid() {
		return Entry{}, kind.New(kind.Malformed, "quarantine entry out of bounds")
	}
	return e, nil
}

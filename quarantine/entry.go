package quarantine

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/quarantine/internal/wire"
)

const (
	// MaxEntryFingerprints bounds the fingerprints of one entry, so that its
	// encoding fits into a gossip broadcast of 512 bytes.
	MaxEntryFingerprints = 56
	// BroadcastKind is the kind of the gossip broadcasts that carry entries. Such
	// a broadcast has the ID Entry.ID, the payload Entry.Encode and the expiry of
	// the entry.
	BroadcastKind uint32 = 1
	// MaxEntryTTL bounds the time from Entry.At to Entry.Expiry.
	MaxEntryTTL = 24 * time.Hour
)

// Entry reports crashes and completions of one process to all others. It is
// immutable: a process publishes a new entry for later events.
type Entry struct {
	// Reporter and Seq together identify the entry.
	Reporter, Seq uint64
	// At is the time of the event by the reporter's clock. Entries are ignored
	// from Expiry on. Both times are in whole milliseconds.
	At, Expiry time.Time
	// Crashed holds requests that were in flight when a target's process died.
	Crashed []Fingerprint
	// OnTrial reports that the one request of Crashed was on trial, and no other
	// request there had been at work at as many crashes.
	OnTrial bool
	// Completed holds suspects that completed without a crash.
	Completed []Fingerprint
}

// ID returns the broadcast ID of the entry.
func (e Entry) ID() string { return fmt.Sprintf("%016x-%d", e.Reporter, e.Seq) }

// valid reports whether e has a reporter, at least one fingerprint, one crashed request
// if that was on trial, and no more fingerprints or longer lifetime than allowed.
func (e Entry) valid() bool {
	n := len(e.Crashed) + len(e.Completed)
	return e.Reporter != 0 && n > 0 && n <= MaxEntryFingerprints &&
		e.Expiry.After(e.At) && e.Expiry.Sub(e.At) <= MaxEntryTTL && (!e.OnTrial || len(e.Crashed) == 1)
}

// Encode returns e as an encoded wire.Report.
func (e Entry) Encode() []byte {
	w := &wire.Report{Reporter: e.Reporter, Seq: e.Seq, AtMs: e.At.UnixMilli(), ExpiryMs: e.Expiry.UnixMilli(), OnTrial: e.OnTrial}
	for _, f := range e.Crashed {
		w.Crashed = append(w.Crashed, uint64(f))
	}
	for _, f := range e.Completed {
		w.Completed = append(w.Completed, uint64(f))
	}
	b, err := proto.Marshal(w)
	if err != nil {
		// Unreachable: Marshal cannot fail for a message of integers only.
		panic("quarantine: encoding an entry: " + err.Error())
	}
	return b
}

// Decode decodes and validates an entry. Its errors are *kind.Error of kind
// malformed.
func Decode(b []byte) (Entry, error) {
	var w wire.Report
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, &w); err != nil {
		return Entry{}, kind.New(kind.Malformed, "quarantine entry is not a protobuf message of the expected type")
	}
	e := Entry{Reporter: w.Reporter, Seq: w.Seq, At: time.UnixMilli(w.AtMs), Expiry: time.UnixMilli(w.ExpiryMs), OnTrial: w.OnTrial}
	// Without this bound, differences between times could overflow.
	const maxUnixMillis = 1 << 52
	if w.AtMs < 0 || w.AtMs > maxUnixMillis || w.ExpiryMs < 0 || w.ExpiryMs > maxUnixMillis {
		return Entry{}, kind.New(kind.Malformed, "quarantine entry has a time out of bounds")
	}
	if len(w.Crashed)+len(w.Completed) > MaxEntryFingerprints {
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

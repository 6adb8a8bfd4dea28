package idempotency

import (
	"errors"
	"math"
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// claimID names a claim; the owner is an index into Fold.owners.
type claimID struct {
	nonce uint64
	owner uint32
}

// foldItem is one remembered claim or release, in the order of offsets.
type foldItem struct {
	hash    KeyHash
	id      claimID
	timeMS  int64
	release bool
}

// Fold is the state that the claims stream gives. Claims without a release
// stay in the order of their offsets.
//
// The fold keeps one bound, the floor: every claim of the stream below the
// next offset that the fold does not hold, and that was not released, has a
// log time below the floor. Records that expired before they were read raise
// it, and so do claims that are dropped because of their age. A key may be
// judged only when no claim that could compete for it can lie below the floor.
type Fold struct {
	cfg      Config
	next     uint64
	floorMS  int64
	highMS   int64
	gap      bool
	keys     map[KeyHash]claim
	claims   int
	released map[claimID]struct{}
	owners   map[ProcessID]uint32
	ids      []ProcessID
	items    fifo[foldItem]

	badRecords, gaps, clockSteps uint64
}

// noTime is the floor of a stream that is known from its first record on, and
// the high mark before the first record.
const noTime = math.MinInt64

// NewFold returns the fold of an empty stream.
func NewFold(cfg Config) *Fold {
	return &Fold{cfg: cfg, next: cfg.FirstOffset, floorMS: noTime, highMS: noTime,
		keys: map[KeyHash]claim{}, released: map[claimID]struct{}{}, owners: map[ProcessID]uint32{}}
}

// Apply folds the records of a batch that was read from the offset Next or
// below it and calls visit for every record that could be decoded. Records
// that were folded before are skipped.
func (f *Fold) Apply(b logservice.Batch, visit func(r Record, timeMS int64)) {
	if b.Earliest > f.next {
		f.skipTo(b.Earliest)
	}
	for _, rec := range b.Records {
		if rec.Offset < f.next {
			continue
		}
		if rec.Offset > f.next {
			f.skipTo(rec.Offset)
		}
		f.next++
		f.apply(rec, visit)
	}
	if b.Next > f.next {
		f.skipTo(b.Next)
	}
}

// skipTo notes that records were not read.
func (f *Fold) skipTo(offset uint64) {
	f.next = offset
	f.gap = true
	f.gaps++
}

func (f *Fold) apply(rec logservice.Record, visit func(Record, int64)) {
	timeMS := rec.Time.UnixMilli()
	if f.gap {
		// What was not read came before this record and is at most LogStep
		// later by the log's clock.
		f.gap = false
		f.raiseFloor(timeMS + f.cfg.LogStep.Milliseconds() + 1)
	}
	switch step := f.cfg.LogStep.Milliseconds(); {
	case f.highMS == noTime || timeMS > f.highMS:
		f.highMS = timeMS
	case timeMS < f.highMS-step:
		// New claims must not be dropped by the old time.
		f.clockSteps++
		f.highMS = timeMS
	}
	r, err := DecodeRecord(rec.Data)
	switch {
	case errors.Is(err, errNewerRecord):
		// It may be a claim, so it counts as one that was not read.
		f.badRecords++
		f.raiseFloor(timeMS + 1)
	case err != nil:
		f.badRecords++
	default:
		switch r.Type {
		case RecordClaim:
			f.addClaim(r, timeMS)
		case RecordRelease:
			f.addRelease(r, timeMS)
		}
		visit(r, timeMS)
	}
	f.drop()
}

func (f *Fold) raiseFloor(ms int64) { f.floorMS = max(f.floorMS, ms) }

func (f *Fold) addClaim(r Record, timeMS int64) {
	id := claimID{nonce: r.Nonce, owner: f.ownerIndex(r.Owner)}
	if _, ok := f.released[id]; ok {
		return
	}
	if r.Form == FormUUIDv7 && timeMS-r.TimeMS < -f.cfg.Skew.Milliseconds() {
		return // never valid: its owner does not execute it
	}
	added := claim{nonce: r.Nonce, owner: id.owner, fingerprint: r.Fingerprint, timeMS: timeMS}
	head, ok := f.keys[r.Hash]
	if !ok {
		f.keys[r.Hash] = added
	} else {
		last := &head
		for {
			if last.nonce == id.nonce && last.owner == id.owner {
				return // the append was repeated
			}
			if last.next == nil {
				break
			}
			last = last.next
		}
		last.next = &added
		f.keys[r.Hash] = head
	}
	f.claims++
	f.items.push(foldItem{hash: r.Hash, id: id, timeMS: timeMS})
}

func (f *Fold) addRelease(r Record, timeMS int64) {
	id := claimID{nonce: r.Nonce, owner: f.ownerIndex(r.Owner)}
	if _, ok := f.released[id]; ok {
		return
	}
	// The release is remembered also without its claim: an append that was
	// given up may take effect after the release.
	f.released[id] = struct{}{}
	f.items.push(foldItem{hash: r.Hash, id: id, timeMS: timeMS, release: true})
	f.remove(r.Hash, id)
}

// remove deletes a claim and reports whether it was there.
func (f *Fold) remove(hash KeyHash, id claimID) bool {
	head, ok := f.keys[hash]
	if !ok {
		return false
	}
	if head.nonce == id.nonce && head.owner == id.owner {
		if head.next == nil {
			delete(f.keys, hash)
		} else {
			f.keys[hash] = *head.next
		}
		f.claims--
		return true
	}
	for c := &head; c.next != nil; c = c.next {
		if c.next.nonce == id.nonce && c.next.owner == id.owner {
			c.next = c.next.next
			f.keys[hash] = head
			f.claims--
			return true
		}
	}
	return false
}

// drop forgets what is too old to compete with any claim that is appended
// from now on. The time of a key is at most Skew after that of its claim, so a
// later claim for the key of a dropped one would be older than the window.
func (f *Fold) drop() {
	limit := f.highMS - (f.cfg.Window + f.cfg.Skew + f.cfg.LogStep).Milliseconds()
	for f.items.len() > 0 && f.items.front().timeMS < limit {
		item := f.items.pop()
		if item.release {
			delete(f.released, item.id)
		} else if f.remove(item.hash, item.id) {
			f.raiseFloor(item.timeMS + 1)
		}
	}
}

func (f *Fold) ownerIndex(p ProcessID) uint32 {
	i, ok := f.owners[p]
	if !ok {
		i = uint32(len(f.ids))
		f.owners[p] = i
		f.ids = append(f.ids, p)
	}
	return i
}

// first returns the claim of hash at the lowest offset.
func (f *Fold) first(hash KeyHash) (claim, bool) {
	c, ok := f.keys[hash]
	return c, ok
}

// blocker returns the claim at the lowest offset that precedes the claim own
// and competes with it. For an opaque key, claims older than the window do not.
func (f *Fold) blocker(hash KeyHash, own claimID, form Form, ownTimeMS int64) (claim, bool) {
	head, ok := f.keys[hash]
	if !ok {
		return claim{}, false
	}
	for c := &head; c != nil; c = c.next {
		if c.nonce == own.nonce && c.owner == own.owner {
			return claim{}, false
		}
		if form == FormUUIDv7 || ownTimeMS-c.timeMS <= f.cfg.Window.Milliseconds() {
			return *c, true
		}
	}
	return claim{}, false
}

// complete reports whether the fold holds every claim that can compete with a
// claim for a key of the given form and time that was appended at ownTimeMS.
func (f *Fold) complete(form Form, keyTimeMS, ownTimeMS int64) bool {
	if f.gap {
		return false
	}
	if f.floorMS == noTime {
		return true
	}
	if form == FormUUIDv7 {
		return f.floorMS <= keyTimeMS-f.cfg.Skew.Milliseconds()
	}
	return f.floorMS <= ownTimeMS-f.cfg.Window.Milliseconds()
}

// expired reports whether every claim that is appended from now on is too
// late for a key of the given time.
func (f *Fold) expired(keyTimeMS int64) bool {
	return f.highMS != noTime && f.highMS-f.cfg.LogStep.Milliseconds()-keyTimeMS > f.cfg.Window.Milliseconds()
}

func msTime(ms int64) time.Time {
	if ms == noTime {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

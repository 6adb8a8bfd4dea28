package idempotency

import (
	"errors"
	"math"
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// claimID identifies a claim; owner is an index into ClaimIndex.ownerIDs.
type claimID struct {
	nonce uint64
	owner uint32
}

// indexEntry is one claim or release in the index.
type indexEntry struct {
	hash    KeyHash
	id      claimID
	timeMS  int64
	release bool
}

// ClaimIndex is the state derived from the records of the claims stream. It keeps
// the claims that were not released, for each key in the order of their offsets.
//
// The index maintains one low watermark, completeSinceMS: every claim below the
// next offset that is neither held by the index nor released has a log time below
// it. Records that expired before they were read raise it, and so do claims that
// are dropped because of their age. A key may be decided only if no claim that
// could compete for it can have a log time below the watermark.
type ClaimIndex struct {
	cfg             Config
	next            uint64
	completeSinceMS int64
	// latestMS is the highest log time read; a step back of the log's clock
	// beyond MaxLogClockStep resets it.
	latestMS int64
	// gap is set while records were skipped and none has been read since.
	gap      bool
	keys     map[KeyHash]claim
	claims   int
	released map[claimID]struct{}
	owners   map[ProcessID]uint32
	ownerIDs []ProcessID
	// entries holds the claims and releases in the order of offsets.
	entries fifo[indexEntry]

	badRecords, gaps, clockSteps uint64
}

// noTime is the value of completeSinceMS if the stream was read from its first
// record, and of latestMS before the first record.
const noTime = math.MinInt64

// NewClaimIndex returns the index of an empty stream.
func NewClaimIndex(cfg Config) *ClaimIndex {
	return &ClaimIndex{cfg: cfg, next: cfg.FirstOffset, completeSinceMS: noTime, latestMS: noTime,
		keys: map[KeyHash]claim{}, released: map[claimID]struct{}{}, owners: map[ProcessID]uint32{}}
}

// Apply adds the records of a batch that was read from the next offset or below
// it and calls visit for every record that could be decoded. Records that were
// applied before are skipped.
func (x *ClaimIndex) Apply(b logservice.Batch, visit func(r Record, timeMS int64)) {
	if b.Earliest > x.next {
		x.skipTo(b.Earliest)
	}
	for _, rec := range b.Records {
		if rec.Offset < x.next {
			continue
		}
		if rec.Offset > x.next {
			x.skipTo(rec.Offset)
		}
		x.next++
		x.applyRecord(rec, visit)
	}
	if b.Next > x.next {
		x.skipTo(b.Next)
	}
}

// skipTo moves the next offset past records that were not read.
func (x *ClaimIndex) skipTo(offset uint64) {
	x.next = offset
	x.gap = true
	x.gaps++
}

func (x *ClaimIndex) applyRecord(rec logservice.Record, visit func(Record, int64)) {
	timeMS := rec.Time.UnixMilli()
	if x.gap {
		// The unread records precede this one, and their log times are at most
		// MaxLogClockStep later.
		x.gap = false
		x.raiseCompleteSince(timeMS + x.cfg.MaxLogClockStep.Milliseconds() + 1)
	}
	switch step := x.cfg.MaxLogClockStep.Milliseconds(); {
	case x.latestMS == noTime || timeMS > x.latestMS:
		x.latestMS = timeMS
	case timeMS < x.latestMS-step:
		// Otherwise new claims would be dropped by the time before the step.
		x.clockSteps++
		x.latestMS = timeMS
	}
	r, err := DecodeRecord(rec.Data)
	switch {
	case errors.Is(err, errNewerRecord):
		// The record may be a claim, so it counts as an unread claim.
		x.badRecords++
		x.raiseCompleteSince(timeMS + 1)
	case err != nil:
		x.badRecords++
	default:
		switch r.Type {
		case RecordClaim:
			x.addClaim(r, timeMS)
		case RecordRelease:
			x.addRelease(r, timeMS)
		}
		visit(r, timeMS)
	}
	x.dropOld()
}

func (x *ClaimIndex) raiseCompleteSince(ms int64) { x.completeSinceMS = max(x.completeSinceMS, ms) }

func (x *ClaimIndex) addClaim(r Record, timeMS int64) {
	id := claimID{nonce: r.Nonce, owner: x.ownerIndex(r.Owner)}
	if _, ok := x.released[id]; ok {
		return
	}
	if r.Format == FormatUUIDv7 && timeMS-r.TimeMS < -x.cfg.Skew.Milliseconds() {
		return // never valid; its owner does not execute the request
	}
	newClaim := claim{nonce: r.Nonce, owner: id.owner, fingerprint: r.Fingerprint, timeMS: timeMS}
	head, ok := x.keys[r.Hash]
	if !ok {
		x.keys[r.Hash] = newClaim
	} else {
		last := &head
		for {
			if last.nonce == id.nonce && last.owner == id.owner {
				return // a retried append
			}
			if last.next == nil {
				break
			}
			last = last.next
		}
		last.next = &newClaim
		x.keys[r.Hash] = head
	}
	x.claims++
	x.entries.push(indexEntry{hash: r.Hash, id: id, timeMS: timeMS})
}

func (x *ClaimIndex) addRelease(r Record, timeMS int64) {
	id := claimID{nonce: r.Nonce, owner: x.ownerIndex(r.Owner)}
	if _, ok := x.released[id]; ok {
		return
	}
	// The release is kept even if its claim is unknown: an abandoned append may
	// take effect after the release.
	x.released[id] = struct{}{}
	x.entries.push(indexEntry{hash: r.Hash, id: id, timeMS: timeMS, release: true})
	x.remove(r.Hash, id)
}

// remove deletes a claim and reports whether it was present.
func (x *ClaimIndex) remove(hash KeyHash, id claimID) bool {
	head, ok := x.keys[hash]
	if !ok {
		return false
	}
	if head.nonce == id.nonce && head.owner == id.owner {
		if head.next == nil {
			delete(x.keys, hash)
		} else {
			x.keys[hash] = *head.next
		}
		x.claims--
		return true
	}
	for c := &head; c.next != nil; c = c.next {
		if c.next.nonce == id.nonce && c.next.owner == id.owner {
			c.next = c.next.next
			x.keys[hash] = head
			x.claims--
			return true
		}
	}
	return false
}

// dropOld removes entries that are too old to compete with claims appended from
// now on. The time of a key is at most Skew after that of its claim, so a later
// claim for the key of a dropped claim would be outside the window.
func (x *ClaimIndex) dropOld() {
	limit := x.latestMS - (x.cfg.Window + x.cfg.Skew + x.cfg.MaxLogClockStep).Milliseconds()
	for x.entries.len() > 0 && x.entries.front().timeMS < limit {
		entry := x.entries.pop()
		if entry.release {
			delete(x.released, entry.id)
		} else if x.remove(entry.hash, entry.id) {
			x.raiseCompleteSince(entry.timeMS + 1)
		}
	}
}

func (x *ClaimIndex) ownerIndex(p ProcessID) uint32 {
	i, ok := x.owners[p]
	if !ok {
		i = uint32(len(x.ownerIDs))
		x.owners[p] = i
		x.ownerIDs = append(x.ownerIDs, p)
	}
	return i
}

// first returns the claim for hash with the lowest offset.
func (x *ClaimIndex) first(hash KeyHash) (claim, bool) {
	c, ok := x.keys[hash]
	return c, ok
}

// blocker returns the claim with the lowest offset that precedes the claim own
// and competes with it. For an opaque key, claims older than the window do not
// compete.
func (x *ClaimIndex) blocker(hash KeyHash, own claimID, format KeyFormat, ownTimeMS int64) (claim, bool) {
	head, ok := x.keys[hash]
	if !ok {
		return claim{}, false
	}
	for c := &head; c != nil; c = c.next {
		if c.nonce == own.nonce && c.owner == own.owner {
			return claim{}, false
		}
		if format == FormatUUIDv7 || ownTimeMS-c.timeMS <= x.cfg.Window.Milliseconds() {
			return *c, true
		}
	}
	return claim{}, false
}

// complete reports whether the index holds every claim that can compete with a
// claim for a key of the given format and time that was appended at ownTimeMS.
func (x *ClaimIndex) complete(format KeyFormat, keyTimeMS, ownTimeMS int64) bool {
	if x.gap {
		return false
	}
	if x.completeSinceMS == noTime {
		return true
	}
	if format == FormatUUIDv7 {
		return x.completeSinceMS <= keyTimeMS-x.cfg.Skew.Milliseconds()
	}
	return x.completeSinceMS <= ownTimeMS-x.cfg.Window.Milliseconds()
}

// expired reports whether claims appended from now on are too late for a key of
// the given time.
func (x *ClaimIndex) expired(keyTimeMS int64) bool {
	return x.latestMS != noTime && x.latestMS-x.cfg.MaxLogClockStep.Milliseconds()-keyTimeMS > x.cfg.Window.Milliseconds()
}

func timeFromMS(ms int64) time.Time {
	if ms == noTime {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

package recordsync

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff after a failed
	// write, before jitter. With the longer one a record is written within about a
	// second of the return of the store.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// maxRenewDelay replaces maxRetryDelay if only the timeline has changed. A store
	// that turns most nodes away then gets fewer calls that it refuses.
	maxRenewDelay = 5 * time.Second
	// minTokenLead is by how many milliseconds tokens run ahead of the clock after a
	// first refusal. It doubles with each further one, so that a clock that has been
	// set back by an hour costs thirteen refused writes.
	minTokenLead = 1000
)

// Keeper tracks what the store holds of one record and decides when the record is
// written. It is not safe for concurrent use.
type Keeper struct {
	rng *rand.Rand
	// wanted is the version that the store should hold.
	wanted Version
	// stored is the version that the store has acknowledged; isStored is false until
	// there is one.
	stored   Version
	isStored bool
	// writing is the write in progress, if isWriting.
	writing   Write
	isWriting bool
	// token is the token of the last write, tokenLead by how many milliseconds tokens
	// run ahead of the clock.
	token, tokenLead uint64
	// due is when the next write starts, or zero.
	due   time.Time
	delay time.Duration
}

// New returns the keeper of a record that has not been written. rng spreads the
// writes of many nodes.
func New(rng *rand.Rand) *Keeper { return &Keeper{rng: rng, delay: minRetryDelay} }

// Change records that the content has changed, and returns its revision. The write is
// due at once.
func (k *Keeper) Change(now time.Time) uint64 {
	k.wanted.Revision++
	k.schedule(now)
	return k.wanted.Revision
}

// ObserveTimeline records that the store is on a timeline, and reports whether it is
// newer than the one known. If the store has been restored since the record was written, the next
// write is due at a random time within spread.
func (k *Keeper) ObserveTimeline(now time.Time, timeline uint64, spread time.Duration) bool {
	if timeline <= k.wanted.Timeline {
		return false
	}
	k.wanted.Timeline = timeline
	if k.isStored {
		k.schedule(now.Add(time.Duration(k.rng.Float64() * float64(spread))))
	}
	return true
}

// Confirm records that the store holds a version without a write. A write is due at
// once if that is not the wanted version.
func (k *Keeper) Confirm(now time.Time, v Version) {
	k.stored, k.isStored = v, true
	if k.Current() {
		k.due = time.Time{}
	} else {
		k.schedule(now)
	}
}

// NextWrite returns when the next write starts; ok is false if none is planned.
func (k *Keeper) NextWrite() (at time.Time, ok bool) {
	return k.due, !k.due.IsZero() && !k.isWriting
}

// Begin starts a write if one is due and none is in progress. The content is taken
// after Begin. Each write ends with Written, Failed or Fenced. Tokens follow the time
// of day, so that those of a restarted process are higher.
func (k *Keeper) Begin(now time.Time) (w Write, ok bool) {
	if k.isWriting || k.due.IsZero() || now.Before(k.due) {
		return Write{}, false
	}
	k.token = max(k.token+1, uint64(now.UnixMilli())+k.tokenLead)
	k.writing, k.isWriting, k.due = Write{k.wanted, k.token}, true, time.Time{}
	return k.writing, true
}

// Written records that the store has acknowledged the write in progress in a
// timeline. If that is not the newest one that is known, the write is repeated.
func (k *Keeper) Written(now time.Time, timeline uint64) {
	k.isWriting, k.isStored = false, true
	k.stored = Version{k.writing.Revision, min(timeline, k.writing.Timeline)}
	k.wanted.Timeline = max(k.wanted.Timeline, timeline)
	if k.Current() {
		k.delay = minRetryDelay
		return
	}
	k.retry(now)
}

// Failed records that the write in progress was not acknowledged. It is repeated,
// whether or not it has taken effect.
func (k *Keeper) Failed(now time.Time) {
	k.isWriting = false
	k.retry(now)
}

// Fenced records that the store has refused the write in progress, since it has
// executed one with a higher token: by an earlier process whose clock was ahead. It is
// repeated with a higher token.
func (k *Keeper) Fenced(now time.Time) {
	k.tokenLead = max(2*k.tokenLead, minTokenLead)
	k.Failed(now)
}

// Current reports whether the store holds the wanted version.
func (k *Keeper) Current() bool { return k.isStored && k.stored == k.wanted }

// Holds reports whether the store holds at least the given revision, in the newest
// timeline that is known.
func (k *Keeper) Holds(revision uint64) bool {
	return k.isStored && k.stored.Revision >= revision && k.stored.Timeline == k.wanted.Timeline
}

// Revision returns the revision of the present content.
func (k *Keeper) Revision() uint64 { return k.wanted.Revision }

// Timeline returns the newest timeline that is known, or 0.
func (k *Keeper) Timeline() uint64 { return k.wanted.Timeline }

func (k *Keeper) retry(now time.Time) {
	k.schedule(now.Add(k.delay/2 + time.Duration(k.rng.Float64()*float64(k.delay))))
	limit := maxRetryDelay
	if k.isStored && k.stored.Revision == k.wanted.Revision {
		limit = maxRenewDelay
	}
	k.delay = min(2*k.delay, limit)
}

// schedule plans a write unless an earlier one is planned.
func (k *Keeper) schedule(at time.Time) {
	if k.due.IsZero() || at.Before(k.due) {
		k.due = at
	}
}

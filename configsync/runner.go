// Package configsync keeps the configuration of one node up to date. It folds
// the config stream, adopts newer states from peers and appends snapshots to
// the stream.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/hashicorp/go-hclog"
)

// Runner holds the configuration of a node. All methods are safe for
// concurrent use; Run must be called once.
type Runner struct {
	options Options
	state   atomic.Pointer[configlog.State]
	wake    chan struct{}

	mu          sync.Mutex
	status      Status
	subscribers map[chan uint64]struct{}
	// gapOffset and nextScanOffset are valid while Status.Gap is set: the offset
	// of the state before the gap, and the next offset to search for a snapshot.
	gapOffset, nextScanOffset uint64

	// The fields below are used only by the goroutine of Run.

	rand *rand.Rand
	// failures counts the failed reads since the last successful one.
	failures int
	// caughtUp reports whether the state includes the log up to its end, or lags
	// by at most one long poll; see fold.
	caughtUp bool
	// noSnapshotSince is when the Runner first found no snapshot in the log.
	noSnapshotSince time.Time
	// nextSnapshotAttempt is the earliest time of the next append of a snapshot.
	nextSnapshotAttempt time.Time
}

// New returns a Runner with the empty state.
func New(o Options) *Runner {
	o.setDefaults()
	r := &Runner{options: o, rand: o.Rand, wake: make(chan struct{}, 1), subscribers: map[chan uint64]struct{}{}}
	r.status.Following = o.Following
	r.state.Store(configlog.NewState())
	return r
}

// State returns the current state, which must not be folded further. It is
// never nil and its offset never decreases.
func (r *Runner) State() *configlog.State { return r.state.Load() }

// Status returns the current status.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Offset = r.State().Offset()
	s.Gap = r.inGap()
	return s
}

// SetFollowing sets whether the node is a follower, which reads the log by long
// polling. Other nodes poll the log about once per minute.
func (r *Runner) SetFollowing(following bool) {
	r.mu.Lock()
	changed := r.status.Following != following
	r.status.Following = following
	r.mu.Unlock()
	if changed {
		r.ReadNow()
	}
}

// ReadNow ends the pause between two reads of a node that polls the log. It is
// for use when peers have a newer state that cannot be fetched from them. It
// does not shorten the back-off after a failure.
func (r *Runner) ReadNow() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Subscribe returns a channel that receives the offset of every new state. The
// channel holds only the newest offset, so a slow receiver skips older ones.
// cancel ends the subscription.
func (r *Runner) Subscribe() (offsets <-chan uint64, cancel func()) {
	c := make(chan uint64, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[c] = struct{}{}
	return c, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.subscribers, c)
	}
}

// Encode returns the data for Adopt at a peer whose state has the offset
// peerOffset, or nil if the peer is up to date.
func (r *Runner) Encode(peerOffset uint64) []byte {
	s := r.State()
	switch {
	case s.Offset() <= peerOffset:
		return nil
	case peerOffset == 0:
		return configlog.EncodeSnapshot(s)
	}
	return configlog.EncodeDelta(s, peerOffset)
}

// Adopt replaces the state by that of a peer, encoded by Encode, if its offset
// is higher than that of the current state. Empty data, the response of a peer
// that has no newer state, changes nothing. The error has kind malformed.
func (r *Runner) Adopt(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.State()
	next, err := configlog.Adopt(current, data)
	if err != nil {
		return err
	}
	if next != current {
		r.status.Adopted++
		r.publish(next)
	}
	return nil
}

// publish replaces the state and notifies the subscribers. r.mu is held.
func (r *Runner) publish(s *configlog.State) {
	r.state.Store(s)
	for c := range r.subscribers {
		select {
		case <-c:
		default:
		}
		c <- s.Offset()
	}
}

// inGap reports whether records after the state are missing. r.mu is held.
func (r *Runner) inGap() bool { return r.status.Gap && r.gapOffset == r.State().Offset() }

// Run reads the log until ctx ends, and returns the error of ctx.
func (r *Runner) Run(ctx context.Context) error {
	if !r.following() {
		r.sleep(ctx, time.Duration(r.rand.Int64N(int64(maxStartDelay))), r.wake)
	}
	for ctx.Err() == nil {
		r.readOnce(ctx)
	}
	return ctx.Err()
}

func (r *Runner) following() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.Following
}

// readOnce does one read and the pause after it.
func (r *Runner) readOnce(ctx context.Context) {
	following := r.following()
	wait := time.Duration(0)
	if following {
		wait = r.options.longPollTimeout()
	}
	batch, err := r.options.Client.Read(ctx, configlog.Stream, r.readOffset(), batchRecords, wait)
	if ctx.Err() != nil {
		return
	}
	r.recordRequest(err)
	if err != nil {
		r.caughtUp = false
		r.failures++
		// A node logs a long outage as a warning once, not at every attempt.
		level := hclog.Debug
		if r.failures == 1 {
			level = hclog.Warn
		}
		r.options.Logger.Log(level, "configuration log not readable", "error", err, "failures", r.failures)
		r.sleep(ctx, max(r.backoff(following), kind.Of(err).RetryAfter), nil)
		return
	}
	if r.failures > 0 {
		r.options.Logger.Info("configuration log readable again", "failures", r.failures)
	}
	r.failures = 0
	r.fold(batch)
	if r.caughtUp {
		r.writeSnapshot(ctx)
	}
	switch {
	case len(batch.Records) > 0:
		// More records may follow.
	case following:
		r.sleep(ctx, r.jitter(emptyReadDelay), nil)
	default:
		r.sleep(ctx, r.jitter(r.options.pollInterval()), r.wake)
	}
}

// recordRequest records the outcome of a request to the log service.
func (r *Runner) recordRequest(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.LastError = ""
	if err != nil {
		r.status.LastError = err.Error()
		r.status.Failures++
		return
	}
	r.status.Reads++
	r.status.LastRead = r.options.Now()
}

// readOffset returns the offset to read from. In a gap it is where the search
// for a snapshot continues.
func (r *Runner) readOffset() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inGap() {
		return r.nextScanOffset
	}
	return r.State().Offset()
}

// fold applies a batch of the log to the state and updates caughtUp and the
// gap.
func (r *Runner) fold(batch logservice.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.State()
	next, gap := current.Clone(), false
	for _, record := range batch.Records {
		result := configlog.Fold(next, record)
		r.logOutcome(&result)
		gap = result.Outcome == configlog.Gap
		if result.Outcome == configlog.SnapshotApplied {
			// The records between the snapshot's offset and its own are read next.
			break
		}
	}
	empty := len(batch.Records) == 0
	if empty {
		gap = r.inGap() || batch.Earliest > next.Offset()
	}
	if gap && !r.inGap() {
		r.options.Logger.Warn("configuration records are missing; waiting for a snapshot", "have", next.Offset(), "earliest", batch.Earliest)
	}
	if batch.Next < next.Offset() && empty {
		r.options.Logger.Error("the configuration log ends before the offset of the current state", "have", next.Offset(), "next", batch.Next)
	}
	// A follower that had reached the end lags by at most one long poll. A node
	// that polls rarely, or reads again after an outage, must reach the end first.
	r.caughtUp = !gap && (empty || r.caughtUp && r.status.Following && len(batch.Records) < batchRecords)
	r.status.Gap, r.gapOffset, r.nextScanOffset = gap, next.Offset(), batch.Next
	if next.Offset() > current.Offset() {
		r.publish(next)
	}
}

// logOutcome logs the outcome of a record. Until the node has caught up it uses
// debug level, since records from before the node started are of interest only
// for debugging.
func (r *Runner) logOutcome(result *configlog.Result) {
	level := hclog.Debug
	if r.caughtUp {
		level = hclog.Info
	}
	switch result.Outcome {
	case configlog.Accepted:
		r.options.Logger.Log(level, "configuration accepted", "service", result.Name.String(), "revision", result.Revision, "offset", result.Offset, "author", result.Author)
	case configlog.Rejected:
		r.options.Logger.Log(level, "configuration rejected", "error", result.Err(), "id", result.ID)
	case configlog.SnapshotApplied:
		r.options.Logger.Info("configuration restored from a snapshot", "record", result.Offset)
	}
}

// writeSnapshot appends a snapshot if the newest one is older than a quarter
// of the retention and no node with a lower rank has written one in time. It
// is called only at the end of the log: the snapshot of a state that lags
// could leave a gap before the earliest retained record.
func (r *Runner) writeSnapshot(ctx context.Context) {
	state, now := r.State(), r.options.Now()
	if state.Offset() == 0 || now.Before(r.nextSnapshotAttempt) {
		return
	}
	maxSnapshotAge := r.options.Retention / 4
	_, newest := state.LastSnapshot()
	due := newest.Add(maxSnapshotAge)
	if newest.IsZero() {
		if r.noSnapshotSince.IsZero() {
			r.noSnapshotSince = now
		}
		due = r.noSnapshotSince
	}
	// Limiting the delay to maxSnapshotAge leaves half of the retention to write
	// the snapshot even if all nodes with a low rank have failed.
	due = due.Add(min(time.Duration(max(r.options.Rank(), 0))*r.options.rankDelay(), maxSnapshotAge))
	if now.Before(due) {
		return
	}
	_, err := r.options.Client.Append(ctx, configlog.Stream, configlog.EncodeSnapshot(state))
	// If only the response was lost, the node reads its snapshot from the log
	// before the next attempt.
	r.nextSnapshotAttempt = now.Add(r.jitter(r.options.rankDelay()))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.status.LastError = err.Error()
		r.options.Logger.Warn("configuration snapshot not written", "error", err)
		return
	}
	r.status.Snapshots++
}

// backoff returns the pause after a failure.
func (r *Runner) backoff(following bool) time.Duration {
	maxBackoff := maxPollingBackoff
	if following {
		maxBackoff = maxFollowerBackoff
	}
	return r.jitter(min(initialBackoff<<min(r.failures-1, 16), maxBackoff))
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (r *Runner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rand.Int64N(int64(d)+1))
}

// sleep waits for d, for a signal on wake or for the end of ctx.
func (r *Runner) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

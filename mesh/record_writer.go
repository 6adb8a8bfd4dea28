package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/recordsync"
)

// recordWriter holds what is known of the node's record in the store. It is safe for
// concurrent use.
type recordWriter struct {
	mu     sync.Mutex
	keeper *recordsync.Keeper
	// changed is closed, and replaced, by each update.
	changed chan struct{}
}

func newRecordWriter(rng *rand.Rand) *recordWriter {
	return &recordWriter{keeper: recordsync.New(rng), changed: make(chan struct{})}
}

// update changes the state of the keeper.
func (w *recordWriter) update(step func(*recordsync.Keeper)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	step(w.keeper)
	close(w.changed)
	w.changed = make(chan struct{})
}

// read passes the keeper to a function that does not change it, and returns a channel
// that is closed at the next update.
func (w *recordWriter) read(look func(*recordsync.Keeper)) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	look(w.keeper)
	return w.changed
}

// keepRecordWritten writes the node's record whenever it is due, until ctx is canceled.
func (n *Node) keepRecordWritten(ctx context.Context) {
	for ctx.Err() == nil {
		var at time.Time
		var planned bool
		changed := n.record.read(func(k *recordsync.Keeper) { at, planned = k.NextWrite() })
		var due <-chan time.Time
		if planned {
			due = time.After(time.Until(at))
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-due:
			// A failure has been logged, and the write is due again.
			_ = n.writeRecord(ctx)
		}
	}
}

// writeRecord writes the node's record to the store if a write is due.
func (n *Node) writeRecord(ctx context.Context) error {
	address, err := netip.ParseAddrPort(n.config.GossipAddress)
	if err != nil {
		return err
	}
	var write recordsync.Write
	var due bool
	n.record.update(func(k *recordsync.Keeper) { write, due = k.Begin(time.Now()) })
	if !due {
		return nil
	}
	r := Record{Instance: n.config.Name, Gossip: address, Departures: n.departures(), CrashReports: n.crashReports.encoded(time.Now())}
	if n.target.departuresAreKnown() {
		r.Timeline = write.Timeline
	}
	timeline, err := n.config.Records.Save(ctx, r, write.Token)
	if err != nil {
		n.record.update(func(k *recordsync.Keeper) {
			if errors.Is(err, ErrFenced) {
				k.Fenced(time.Now())
			} else {
				k.Failed(time.Now())
			}
		})
		n.log.Warn("failed to write the node's record", "revision", write.Revision, "timeline", write.Timeline, "token", write.Token, "departures", len(r.Departures), "error", err)
		return err
	}
	n.record.update(func(k *recordsync.Keeper) { k.Written(time.Now(), timeline) })
	n.log.Info("node's record written", "revision", write.Revision, "timeline", timeline, "token", write.Token, "departures", len(r.Departures), "trial_reports", len(r.CrashReports))
	return nil
}

// changeRecord plans a write of the node's record after a change of its content, and
// returns the revision.
func (n *Node) changeRecord() (revision uint64) {
	n.record.update(func(k *recordsync.Keeper) { revision = k.Change(time.Now()) })
	return revision
}

// awaitRecord waits until the store holds a revision of the node's record. It reports
// false if ctx ends before.
func (n *Node) awaitRecord(ctx context.Context, revision uint64) bool {
	for {
		holds := false
		changed := n.record.read(func(k *recordsync.Keeper) { holds = k.Holds(revision) })
		if holds {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// recordCurrent reports whether the store holds the present content of the record.
func (n *Node) recordCurrent() (current bool) {
	n.record.read(func(k *recordsync.Keeper) { current = k.Current() })
	return current
}

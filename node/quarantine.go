package node

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

const (
	// crashReportDelay is how long the response to a request that crashed a
	// target is delayed, so that all nodes know of the suspicion before a resend.
	crashReportDelay = time.Second
	// suspicionWait bounds the wait for the report of a crash that the caller
	// of a request knows about already.
	suspicionWait = 500 * time.Millisecond
	// trialWait bounds the wait for the end of another suspect's trial.
	trialWait = 250 * time.Millisecond
)

// quarantineTable keeps requests away from targets that they would crash. It
// is safe for concurrent use.
type quarantineTable struct {
	node  *Node
	mu    sync.Mutex
	table *quarantine.Table
	// changed is closed and replaced when an entry arrives or a trial ends.
	changed chan struct{}
}

func newQuarantineTable(n *Node) *quarantineTable {
	return &quarantineTable{
		node: n, changed: make(chan struct{}),
		table: quarantine.New(quarantine.Config{Reporter: binary.BigEndian.Uint64(n.id[8:])}),
	}
}

// state returns how a request is to be treated.
func (q *quarantineTable) state(fingerprint uint64) quarantine.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Check(time.Now(), quarantine.Fingerprint(fingerprint)).State
}

// crashed reports the requests that were in flight when the target died.
func (q *quarantineTable) crashed(fingerprints []uint64) {
	inFlight := make([]quarantine.Fingerprint, len(fingerprints))
	for i, f := range fingerprints {
		inFlight[i] = quarantine.Fingerprint(f)
	}
	q.mu.Lock()
	effects := q.table.Crashed(time.Now(), inFlight)
	q.notifyLocked()
	q.mu.Unlock()
	q.publish(effects)
}

// received adds an entry from another node.
func (q *quarantineTable) received(b membership.Broadcast) {
	if b.Kind != quarantine.BroadcastKind {
		return
	}
	entry, err := quarantine.Decode(b.Payload)
	if err != nil {
		q.node.log.Warn("quarantine entry rejected", "id", b.ID, "error", err)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Merge(time.Now(), entry)
	q.notifyLocked()
}

// begin starts the trial of a suspect, or lets any other request through. The
// returned function ends what was begun; completed reports that the request
// ran to its end. The error has run state not-run.
func (q *quarantineTable) begin(ctx context.Context, fingerprint uint64, knownCrashes uint32) (end func(completed bool), failure *kind.Error) {
	f := quarantine.Fingerprint(fingerprint)
	reportBy, trialBy := time.Now().Add(suspicionWait), time.Now().Add(trialWait)
	for {
		now := time.Now()
		q.mu.Lock()
		state := q.table.Check(now, f).State
		started := state == quarantine.Suspect && q.table.BeginTrial(now, f)
		changed := q.changed
		q.mu.Unlock()
		wait := time.Duration(0)
		switch {
		case state == quarantine.Quarantined:
			return nil, kind.New(kind.Quarantined, "the request has crashed targets")
		case started:
			return func(completed bool) { q.endTrial(f, completed) }, nil
		case state == quarantine.Suspect:
			if wait = trialBy.Sub(now); wait <= 0 {
				return nil, kind.New(kind.QueueTimeout, "another request that may crash the target is running")
			}
		case knownCrashes == 0 || !now.Before(reportBy):
			return func(bool) {}, nil
		default:
			wait = reportBy.Sub(now)
		}
		if !waitFor(ctx, changed, wait) {
			return nil, kind.New(kind.Canceled, "the caller left before the request ran").WithRun(kind.NotRun)
		}
	}
}

// waitFor waits for a change or until d has passed. It reports false when ctx
// ends first.
func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (q *quarantineTable) endTrial(f quarantine.Fingerprint, completed bool) {
	q.mu.Lock()
	var effects []quarantine.Effect
	if completed {
		effects = q.table.Completed(time.Now(), f)
	} else {
		q.table.EndTrial(f)
	}
	q.notifyLocked()
	q.mu.Unlock()
	q.publish(effects)
}

// tick publishes collected completions and drops expired entries.
func (q *quarantineTable) tick() {
	q.mu.Lock()
	effects := q.table.Tick(time.Now())
	q.mu.Unlock()
	q.publish(effects)
}

func (q *quarantineTable) publish(effects []quarantine.Effect) {
	for _, e := range effects {
		if p, ok := e.(quarantine.Publish); ok {
			q.node.gossip.Broadcast(membership.Broadcast{
				Kind: quarantine.BroadcastKind, ID: p.Entry.ID(), Payload: p.Entry.Encode(), Expiry: p.Entry.Expiry,
			})
		}
	}
}

func (q *quarantineTable) notifyLocked() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// list returns the suspects and quarantined fingerprints for a state dump.
func (q *quarantineTable) list() []quarantine.FingerprintStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.List(time.Now())
}

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
	// target is delayed, so that all nodes have the quarantine entry before the
	// caller sends the request again.
	crashReportDelay = time.Second
	// crashReportWait limits the wait for the report of a crash that the sender
	// of a request already knows about.
	crashReportWait = 500 * time.Millisecond
	// trialWait limits the wait for the end of another suspect's trial.
	trialWait = 250 * time.Millisecond
)

// quarantineTable blocks requests that crash targets and distributes crash
// reports to the other nodes. It is safe for concurrent use.
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

// state returns the quarantine state of a request.
func (q *quarantineTable) state(fingerprint uint64) quarantine.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Check(time.Now(), quarantine.Fingerprint(fingerprint)).State
}

// reportCrash reports the requests that were in flight when the target crashed.
func (q *quarantineTable) reportCrash(fingerprints []uint64) {
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

// merge adds a quarantine entry broadcast by another node.
func (q *quarantineTable) merge(b membership.Broadcast) {
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

// begin starts the trial of a suspect request and admits any other request that
// is not quarantined. end must be called when the request has ended; completed
// reports that it ran to completion. The error has run state not-run.
func (q *quarantineTable) begin(ctx context.Context, fingerprint uint64, knownCrashes uint32) (end func(completed bool), failure *kind.Error) {
	f := quarantine.Fingerprint(fingerprint)
	reportDeadline, trialDeadline := time.Now().Add(crashReportWait), time.Now().Add(trialWait)
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
			if wait = trialDeadline.Sub(now); wait <= 0 {
				return nil, kind.New(kind.QueueTimeout, "another request that may crash the target is running")
			}
		case knownCrashes == 0 || !now.Before(reportDeadline):
			return func(bool) {}, nil
		default:
			wait = reportDeadline.Sub(now)
		}
		if !waitFor(ctx, changed, wait) {
			return nil, kind.New(kind.Canceled, "the caller left before the request ran").WithRun(kind.NotRun)
		}
	}
}

// waitFor waits until changed is closed or d has passed. It returns false if ctx
// is done first.
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

// tick publishes collected completions and removes expired entries.
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

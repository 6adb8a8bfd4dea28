package node

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/goldcrestsail/goldcrestsail/crashguard"
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
	guard *crashguard.Guard
}

func newQuarantineTable(n *Node) *quarantineTable {
	return &quarantineTable{node: n, guard: crashguard.New(crashguard.Config{
		Table:      quarantine.Config{Reporter: binary.BigEndian.Uint64(n.id[8:])},
		Broadcast:  func(b membership.Broadcast) { n.gossip.Broadcast(b) },
		TrialWait:  trialWait,
		ReportWait: crashReportWait,
	})}
}

// state returns the quarantine state of a request.
func (q *quarantineTable) state(fingerprint uint64) quarantine.State {
	return q.guard.Check(quarantine.Fingerprint(fingerprint)).State
}

// reportCrash reports the requests that were in flight when the target crashed.
func (q *quarantineTable) reportCrash(fingerprints []uint64) {
	inFlight := make([]quarantine.Fingerprint, len(fingerprints))
	for i, f := range fingerprints {
		inFlight[i] = quarantine.Fingerprint(f)
	}
	q.guard.ReportCrash(inFlight, nil)
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
	q.guard.Merge(entry)
}

// begin starts the trial of a suspect request and admits any other request that
// is not quarantined. end must be called when the request has ended; completed
// reports that it ran to completion. The error has run state not-run.
func (q *quarantineTable) begin(ctx context.Context, fingerprint uint64, knownCrashes uint32) (end func(completed bool), failure *kind.Error) {
	run, failure := q.guard.Begin(ctx, quarantine.Fingerprint(fingerprint), int(knownCrashes))
	if failure != nil {
		return nil, failure
	}
	if !run.Suspect() {
		return func(bool) {}, nil
	}
	return run.End, nil
}

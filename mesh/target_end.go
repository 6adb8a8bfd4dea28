package mesh

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/goldcrestsail/goldcrestsail/crashguard"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

const (
	// breakSettleTime is the delay between the break of a connection and the dial
	// that tells whether the process of the target has ended. The other connections
	// of the process break in that time.
	breakSettleTime = 5 * time.Millisecond
	// endProbeTimeout bounds that dial, so that the answer to the caller is not held
	// up. The target is on the same instance.
	endProbeTimeout = 100 * time.Millisecond
	// givenUpLinger is how long after its deadline a request that was given up may still
	// be at work at the target.
	givenUpLinger = time.Second
	// maxLoggedRuns bounds the requests named in the log line about an end.
	maxLoggedRuns = 16
)

// targetEnds detects ends of the target's process that the target has not announced.
// It is safe for concurrent use.
type targetEnds struct {
	mu     sync.Mutex
	broken quarantine.BrokenRuns
	// entries are those about the last end.
	entries []quarantine.Entry
	probe   singleflight.Group
}

func (e *targetEnds) add(r *quarantine.BrokenRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.broken.Add(r)
}

func (e *targetEnds) contains(r *quarantine.BrokenRun) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken.Contains(r)
}

func (e *targetEnds) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken.Len()
}

func (e *targetEnds) take() []*quarantine.BrokenRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken.Take(time.Now())
}

// alive records that the target has completed a run that began at the given time.
func (e *targetEnds) alive(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.broken.Alive(at)
}

// reportOf returns the encoded entry about the last end that holds a request, or nil.
func (e *targetEnds) reportOf(f quarantine.Fingerprint) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, entry := range e.entries {
		if slices.Contains(entry.Crashed, f) {
			return entry.Encode()
		}
	}
	return nil
}

func (e *targetEnds) setEntries(entries []quarantine.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries = entries
}

// observeTargetEnd looks for an end of the target's process in the failure of a run, if it
// has failed. It returns the failure for the caller, and the report of the end if there
// was one under the run.
func (n *Node) observeTargetEnd(call *message.Call, run *crashguard.Run, failure *kind.Error) (*kind.Error, []byte) {
	switch {
	case failure == nil:
	case failure.Kind == kind.DialFailed:
		n.dialFailed()
	case brokenAnswer(failure):
		if n.runBroke(call, run.OnTrial()) {
			crashed := kind.Newf(kind.TargetCrashed, "the target ended while it ran the request: %s", failure.Detail)
			return crashed, n.ends.reportOf(call.Fingerprint)
		}
	case failure.Run != kind.NotRun && (failure.Kind == kind.Canceled || failure.Kind == kind.DeadlineExpired):
		run.GiveUp(n.runGivenUp(call, run.OnTrial()))
	}
	return failure, nil
}

// brokenAnswer reports whether a target that got a request failed to answer it: with
// nothing, with a part of an answer, or with bytes that are none, as some write when they
// end.
func brokenAnswer(failure *kind.Error) bool {
	switch failure.Kind {
	case kind.AnswerTruncated, kind.AnswerMismatched, kind.AnswerTooLarge:
		return failure.Run != kind.NotRun
	}
	return false
}

// runBroke records that the target did not answer a call that it ran, and reports whether the process of the target has ended.
// If it has, nothing listens at its address. Otherwise only the connection or the
// response was lost, or the next process has started already; its report tells.
func (n *Node) runBroke(call *message.Call, onTrial bool) bool {
	r := &quarantine.BrokenRun{Fingerprint: call.Fingerprint, RequestID: call.ID, OnTrial: onTrial, Until: time.Now()}
	n.ends.add(r)
	for {
		if !n.probeOnce() {
			return false
		}
		// A probe that began before the run was added may have left it out.
		if !n.ends.contains(r) {
			return true
		}
	}
}

// runGivenUp records that a call is no longer awaited that the target may go on running:
// it may end the target all the same. It returns until when.
func (n *Node) runGivenUp(call *message.Call, onTrial bool) time.Time {
	until := time.Now()
	if call.Deadline.After(until) {
		until = call.Deadline
	}
	until = until.Add(givenUpLinger)
	n.ends.add(&quarantine.BrokenRun{Fingerprint: call.Fingerprint, RequestID: call.ID, OnTrial: onTrial, Until: until})
	return until
}

// dialFailed looks for an end of the target under runs that have been given up.
func (n *Node) dialFailed() {
	if n.ends.count() > 0 {
		n.probeOnce()
	}
}

// probeOnce calls probeTargetEnd, or waits for the result of a call in progress.
func (n *Node) probeOnce() bool {
	ended, _, _ := n.ends.probe.Do("", func() (any, error) { return n.probeTargetEnd(), nil })
	return ended.(bool)
}

// probeTargetEnd reports whether the process of the target has ended without notice,
// and handles that end.
func (n *Node) probeTargetEnd() bool {
	time.Sleep(breakSettleTime)
	ctx, cancel := context.WithTimeout(context.Background(), endProbeTimeout)
	defer cancel()
	if err := n.client.Probe(ctx); !errors.Is(err, syscall.ECONNREFUSED) {
		n.logLimited("target's process not known to have ended", "broken_runs", n.ends.count(), "dial_error", err)
		return false
	}
	report := n.target.report(time.Now())
	runs := n.ends.take()
	if report.State == registration.Draining || report.State == registration.Left {
		return false
	}
	n.handleTargetEnd(report, "connection refused", runs)
	return true
}

// noteNewProcess handles the end of the previous process of the target if a report of
// a new one is the first sign of it.
func (n *Node) noteNewProcess(before, after registration.Report) {
	if before.TargetID == "" || before.State == registration.Draining || before.State == registration.Left {
		return
	}
	if before.TargetID == after.TargetID && before.StartedAtMs == after.StartedAtMs {
		return
	}
	runs := n.ends.take()
	for _, call := range n.inFlight.startedBefore(time.UnixMilli(after.StartedAtMs)) {
		runs = append(runs, &quarantine.BrokenRun{Fingerprint: call.Fingerprint, RequestID: call.ID})
	}
	if len(runs) > 0 {
		n.handleTargetEnd(before, "report of a new process", runs)
	}
}

// handleTargetEnd records that the process of the target ended while runs were at
// work, and reports them as suspects.
func (n *Node) handleTargetEnd(ended registration.Report, evidence string, runs []*quarantine.BrokenRun) {
	n.metrics.targetEnds.Inc()
	fingerprints := make([]quarantine.Fingerprint, len(runs))
	var lostTrials []quarantine.Fingerprint
	for i, r := range runs {
		fingerprints[i] = r.Fingerprint
		if r.OnTrial {
			lostTrials = append(lostTrials, r.Fingerprint)
		}
	}
	earlierSuspects := 0
	for _, f := range fingerprints {
		if n.crashes.Check(f).State != quarantine.Clear {
			earlierSuspects++
		}
	}
	entries := n.crashes.ReportCrash(fingerprints, lostTrials)
	n.ends.setEntries(entries)
	suspects, onTrial := 0, false
	for _, e := range entries {
		suspects += len(e.Crashed)
		onTrial = onTrial || e.OnTrial
		n.recordCrashReport(e, len(runs) <= maxBlamed)
		n.logQuarantined(e, "own target")
	}
	var requests []string
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		requests = append(requests, r.RequestID+" "+r.Fingerprint.String())
	}
	n.log.Warn("target's process ended", "target", ended.TargetID, "born", ended.StartedAtMs, "evidence", evidence,
		"at_work", len(runs), "earlier_suspects", earlierSuspects, "suspects", suspects, "on_trial", onTrial, "requests", requests)
}

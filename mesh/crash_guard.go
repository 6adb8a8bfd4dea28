package mesh

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/goldcrestsail/goldcrestsail/crashguard"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

const (
	// trialWait limits how long a suspect waits for the runs of other suspects.
	trialWait = time.Second
	// trialLinger is how long a run on trial goes on after its caller has left. The
	// platform's rules are about work that goes on for half a second and more.
	trialLinger = 400 * time.Millisecond
	// completionWindow exceeds the interval between requests of a kind that the
	// deployment serves all the time.
	completionWindow = 10 * time.Second
	// quarantineTTL is the first quarantine of a request; see quarantine.Config.
	quarantineTTL = 10 * time.Minute
	// crashTickInterval is how often completions of suspects are published.
	crashTickInterval = 500 * time.Millisecond
)

func newCrashGuard(n *Node) *crashguard.Guard {
	return crashguard.New(crashguard.Config{
		Table: quarantine.Config{
			Reporter: binary.BigEndian.Uint64(n.id[8:]), RequireTrial: true, QuarantineTTL: quarantineTTL, CompletionWindow: completionWindow,
			CompletionDelay: crashTickInterval,
		},
		Broadcast: func(b membership.Broadcast) { n.gossip.Broadcast(b) },
		TrialWait: trialWait,
	})
}

// fingerprintOf returns the fingerprint of a call. The entry node and the node beside the
// target compute the same one, since the call carries the service of its caller.
func fingerprintOf(call *message.Call) quarantine.Fingerprint {
	return quarantine.FingerprintOf(call.CallerService, call.Method, call.Host, call.URI, call.Body)
}

// checkQuarantine sets what is known of crashes under a request before it is sent, and
// refuses it in quarantine.
func (n *Node) checkQuarantine(call *message.Call) *kind.Error {
	verdict := n.crashes.Check(call.Fingerprint)
	if verdict.State == quarantine.Quarantined {
		return crashguard.Refusal(verdict, time.Now())
	}
	call.KnownCrashes = verdict.Crashes
	return nil
}

// beginRun begins a run of a call at the local target. A suspect waits for the runs of
// other suspects, but not beyond its deadline.
func (n *Node) beginRun(ctx context.Context, call *message.Call) (*crashguard.Run, *kind.Error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	return n.crashes.Begin(ctx, call.Fingerprint, call.KnownCrashes)
}

// awaitsTrialTarget reports that a suspect has not been tried, since its designated target
// is away. Trying it elsewhere meanwhile would let it end one target after the other
// before the first trial is known everywhere.
func (n *Node) awaitsTrialTarget(call *message.Call, failure *kind.Error) bool {
	away := failure.Kind == kind.DialFailed || failure.Kind == kind.Starting
	return away && failure.Run == kind.NotRun && n.crashes.RequiresTrial(call.KnownCrashes)
}

// observeCrash records what a reply tells about crashes under the request.
func (n *Node) observeCrash(call *message.Call, reply *message.Reply) {
	if reply.Response != nil {
		n.crashes.ObserveCompletion(call.Fingerprint)
		return
	}
	if len(reply.CrashReport) == 0 {
		return
	}
	entry, err := quarantine.Decode(reply.CrashReport)
	if err != nil {
		n.log.Warn("crash report of a peer rejected", "request_id", call.ID, "error", err)
		return
	}
	n.crashes.Merge(entry)
	// The peer may end before its own broadcast has spread.
	n.crashes.Broadcast(entry)
}

// receiveCrashReport applies an entry of another node.
func (n *Node) receiveCrashReport(b membership.Broadcast) {
	entry, err := quarantine.Decode(b.Payload)
	if err != nil {
		n.log.Warn("crash report of a peer rejected", "id", b.ID, "error", err)
		return
	}
	n.crashes.Merge(entry)
	if len(entry.Crashed) > 0 {
		n.log.Info("crash report of a peer", "suspects", len(entry.Crashed), "on_trial", entry.OnTrial,
			"report_age_ms", time.Since(entry.At).Milliseconds(), "source", b.ID)
	}
	n.logQuarantined(entry, b.ID)
}

// logQuarantined logs the requests of an entry that are in quarantine.
func (n *Node) logQuarantined(entry quarantine.Entry, source string) {
	for _, f := range entry.Crashed {
		if verdict := n.crashes.Check(f); verdict.State == quarantine.Quarantined {
			n.log.Info("request in quarantine", "fingerprint", f.String(), "crashes", verdict.Crashes, "until", verdict.Until,
				"report_age_ms", time.Since(entry.At).Milliseconds(), "source", source)
		}
	}
}

// crashState returns the suspects for a state dump.
func (n *Node) crashState() []map[string]any {
	states := []map[string]any{}
	for _, s := range n.crashes.List() {
		states = append(states, map[string]any{"fingerprint": s.Fingerprint.String(), "state": s.State.String(), "crashes": s.Crashes, "expiry": s.Expiry})
	}
	return states
}

// countSuspects returns the number of requests in a state.
func (n *Node) countSuspects(state quarantine.State) (count int) {
	for _, s := range n.crashes.List() {
		if s.State == state {
			count++
		}
	}
	return count
}

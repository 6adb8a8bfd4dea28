package crashguard

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

// Guard blocks requests that end targets and distributes crash reports to the other
// nodes. It is safe for concurrent use.
type Guard struct {
	cfg   Config
	mu    sync.Mutex
	table *quarantine.Table
	// changed is closed and replaced when an entry arrives or the run of a suspect
	// ends.
	changed chan struct{}
}

// New returns a guard that knows no suspects.
func New(cfg Config) *Guard {
	return &Guard{cfg: cfg, table: quarantine.New(cfg.Table), changed: make(chan struct{})}
}

// Check returns the state of a request.
func (g *Guard) Check(f quarantine.Fingerprint) quarantine.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Check(time.Now(), f)
}

// ReportCrash reports the requests that were in flight when the target crashed, and
// returns the entries that are sent to the other nodes. lostTrials are those whose run on
// trial has ended before the crash was known.
func (g *Guard) ReportCrash(inFlight, lostTrials []quarantine.Fingerprint) []quarantine.Entry {
	g.mu.Lock()
	effects := g.table.Crashed(time.Now(), inFlight, lostTrials)
	g.notifyLocked()
	g.mu.Unlock()
	return g.publish(effects)
}

// ReportLost reports a request that was at work at the target of a node which has
// ended, and returns the entries that are sent to the other nodes. knownCrashes is what
// that node was told about the request.
func (g *Guard) ReportLost(f quarantine.Fingerprint, knownCrashes int) []quarantine.Entry {
	g.mu.Lock()
	sentAs := g.mode(quarantine.Verdict{}, knownCrashes)
	effects := g.table.CrashedElsewhere(time.Now(), f, sentAs == onTrial)
	g.notifyLocked()
	g.mu.Unlock()
	return g.publish(effects)
}

// Merge adds an entry of another node.
func (g *Guard) Merge(e quarantine.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Merge(time.Now(), e)
	g.notifyLocked()
}

// ObserveCompletion records that a request has completed on a target of another node.
func (g *Guard) ObserveCompletion(f quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.ObserveCompletion(time.Now(), f) {
		g.notifyLocked()
	}
}

// Begin starts a run of a request at the local target. A suspect waits for the runs of
// others, as the table requires. knownCrashes is the number of crashes that the sender
// of the request attributes to it. The error has run state not-run.
func (g *Guard) Begin(ctx context.Context, f quarantine.Fingerprint, knownCrashes int) (*Run, *kind.Error) {
	reportDeadline, trialDeadline := time.Now().Add(g.cfg.ReportWait), time.Now().Add(g.cfg.TrialWait)
	for {
		now := time.Now()
		g.mu.Lock()
		verdict := g.table.Check(now, f)
		mode := g.mode(verdict, knownCrashes)
		started := verdict.State != quarantine.Quarantined && g.startLocked(now, f, mode)
		changed, trialUntil := g.changed, g.table.TrialUntil()
		g.mu.Unlock()
		var wait time.Duration
		switch {
		case verdict.State == quarantine.Quarantined:
			return nil, Refusal(verdict, now)
		case !started:
			if wait = trialDeadline.Sub(now); wait <= 0 {
				return nil, kind.New(kind.QueueTimeout, "another request that may crash the target is running")
			}
			if left := trialUntil.Sub(now); left > 0 {
				wait = min(wait, left)
			}
		case mode != unrestricted || knownCrashes == 0 || g.cfg.Table.RequireTrial || !now.Before(reportDeadline):
			return &Run{guard: g, fingerprint: f, mode: mode}, nil
		default:
			wait = reportDeadline.Sub(now)
		}
		if !waitFor(ctx, changed, wait) {
			return nil, kind.New(kind.Canceled, "the caller left before the request ran").WithRun(kind.NotRun)
		}
	}
}

// Refusal returns the failure for a request in quarantine.
func Refusal(v quarantine.Verdict, now time.Time) *kind.Error {
	return kind.Newf(kind.Quarantined, "the request has crashed targets %d times and is in quarantine for %d s", v.Crashes, int(v.Until.Sub(now).Seconds()))
}

// Outdated reports that a run, which has not been sent to the target yet, has to begin
// anew, since the request has become suspect or quarantined.
func (g *Guard) Outdated(r *Run, knownCrashes int) bool {
	verdict := g.Check(r.fingerprint)
	return verdict.State == quarantine.Quarantined || g.mode(verdict, knownCrashes) > r.mode
}

// mode returns how a request that is not in quarantine runs.
func (g *Guard) mode(v quarantine.Verdict, knownCrashes int) runMode {
	if !g.cfg.Table.RequireTrial {
		if v.State == quarantine.Suspect {
			return onTrial
		}
		return unrestricted
	}
	switch max(v.Crashes, knownCrashes) {
	case 0:
		return unrestricted
	case 1:
		return besideOthers
	}
	return onTrial
}

// RequiresTrial reports that a request with so many known crashes runs on trial.
func (g *Guard) RequiresTrial(knownCrashes int) bool {
	return g.mode(quarantine.Verdict{}, knownCrashes) == onTrial
}

func (g *Guard) startLocked(now time.Time, f quarantine.Fingerprint, mode runMode) bool {
	switch mode {
	case besideOthers:
		return g.table.BeginBesideOthers(now)
	case onTrial:
		return g.table.BeginTrial(now, f)
	}
	return true
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

// Tick publishes collected completions and removes expired entries.
func (g *Guard) Tick() {
	g.mu.Lock()
	effects := g.table.Tick(time.Now())
	g.mu.Unlock()
	g.publish(effects)
}

// List returns the suspects and quarantined fingerprints.
func (g *Guard) List() []quarantine.FingerprintStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.List(time.Now())
}

func (g *Guard) publish(effects []quarantine.Effect) (entries []quarantine.Entry) {
	for _, e := range effects {
		if p, ok := e.(quarantine.Publish); ok {
			g.Broadcast(p.Entry)
			entries = append(entries, p.Entry)
		}
	}
	return entries
}

// Broadcast sends an entry to all other nodes. It may be one of another node.
func (g *Guard) Broadcast(e quarantine.Entry) {
	g.cfg.Broadcast(membership.Broadcast{Kind: quarantine.BroadcastKind, ID: e.ID(), Payload: e.Encode(), Expiry: e.Expiry})
}

func (g *Guard) notifyLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

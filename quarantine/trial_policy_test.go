package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

const (
	trialStep = 50 * time.Millisecond
	// lateSteps is three seconds, the time after the third crash from which runs are
	// counted, and maxLateRuns how many are allowed.
	lateSteps, maxLateRuns = 60, 3
	// maxDelaySteps bounds the time that an entry takes to arrive.
	maxDelaySteps = 18
	trialSteps    = 400
	crashing      = quarantine.Fingerprint(999)
	// harmless is the same request of another caller, which no target ends under.
	harmless = 1<<44 | crashing
)

func trialConfig(reporter uint64) quarantine.Config {
	return quarantine.Config{Reporter: reporter, RequireTrial: true, QuarantineTTL: 10 * time.Minute, CompletionWindow: 10 * time.Second}
}

// trialRun is a request at work at a target.
type trialRun struct {
	f             quarantine.Fingerprint
	node, endStep int
	onTrial       bool
	besideOthers  bool
}

// trialDeployment is a model of nodes with a target each. Suspects run on their
// designated target; a run that the sender knows as suspect is one for the receiver.
type trialDeployment struct {
	t         *rapid.T
	step      int
	tables    []*quarantine.Table
	names     []string
	upAt      []int
	running   []trialRun
	inTransit []delivery
	published []quarantine.Entry
	crashes   []int
}

func (d *trialDeployment) now() time.Time { return start.Add(time.Duration(d.step) * trialStep) }

func (d *trialDeployment) draw(label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(d.t, label)
}

func (d *trialDeployment) broadcast(from int, effects []quarantine.Effect) {
	for _, e := range effects {
		entry := e.(quarantine.Publish).Entry
		d.published = append(d.published, entry)
		for n := range d.tables {
			if n != from {
				d.inTransit = append(d.inTransit, delivery{d.step + d.draw("delay", 1, maxDelaySteps), n, entry})
			}
		}
	}
}

func (d *trialDeployment) deliver() {
	var later []delivery
	for _, x := range d.inTransit {
		if x.deliveryStep <= d.step {
			d.tables[x.node].Merge(d.now(), x.entry)
		} else {
			later = append(later, x)
		}
	}
	d.inTransit = later
}

// restart replaces a node by one that knows nothing and hears the entries again.
func (d *trialDeployment) restart(n int) {
	d.tables[n] = quarantine.New(trialConfig(uint64(100 + d.step*10 + n)))
	for _, e := range d.published {
		d.inTransit = append(d.inTransit, delivery{d.step + d.draw("delay", 1, maxDelaySteps), n, e})
	}
	for i := range d.running {
		if d.running[i].node == n {
			d.running[i].onTrial, d.running[i].besideOthers = false, false
		}
	}
}

// send sends a request from a random node, and reports whether it runs.
func (d *trialDeployment) send(f quarantine.Fingerprint, duration int) bool {
	entry, target := d.draw("entry", 0, len(d.tables)-1), d.draw("target", 0, len(d.tables)-1)
	known := d.tables[entry].Check(d.now(), f)
	if known.State == quarantine.Quarantined {
		return false
	}
	if known.Crashes > 0 {
		var eligible []string
		for i, name := range d.names {
			// A request on trial is not sent to another target while its own is away.
			if d.upAt[i] <= d.step || known.Crashes > 1 {
				eligible = append(eligible, name)
			}
		}
		for i, name := range d.names {
			if name == quarantine.DesignatedTarget(f, eligible) {
				target = i
			}
		}
	}
	table := d.tables[target]
	own := table.Check(d.now(), f)
	if d.upAt[target] > d.step || own.State == quarantine.Quarantined {
		return false
	}
	r := trialRun{f: f, node: target, endStep: d.step + duration}
	switch crashes := max(known.Crashes, own.Crashes); {
	case crashes == 1:
		r.besideOthers = table.BeginBesideOthers(d.now())
		if !r.besideOthers {
			return false
		}
	case crashes > 1:
		r.onTrial = table.BeginTrial(d.now(), f)
		if !r.onTrial {
			return false
		}
	}
	d.running = append(d.running, r)
	return true
}

// end ends a run; a run of the crashing request ends its target with all runs there.
func (d *trialDeployment) end(r trialRun, resend func(quarantine.Fingerprint)) {
	table := d.tables[r.node]
	release := func(r trialRun) {
		if r.besideOthers {
			table.EndBesideOthers()
		}
	}
	release(r)
	if r.f != crashing {
		d.broadcast(r.node, table.Completed(d.now(), r.f))
		return
	}
	inFlight := []quarantine.Fingerprint{r.f}
	var others []trialRun
	for _, other := range d.running {
		if other.node != r.node {
			others = append(others, other)
			continue
		}
		inFlight = append(inFlight, other.f)
		release(other)
		if other.f != crashing && other.f != harmless {
			resend(other.f)
		}
	}
	d.running = others
	d.broadcast(r.node, table.Crashed(d.now(), inFlight, nil))
	d.upAt[r.node] = d.step + d.draw("down", 10, 60)
	d.crashes = append(d.crashes, d.step)
}

// Guards against a request that goes on ending targets when it comes again at any
// node, some of them new or not told yet, also several copies at once, while the same
// request of another caller completes; and against
// requests that were at work when targets ended and are refused for good, though they
// complete when they are sent again.
func TestTrialsStopCrashingRequestOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &trialDeployment{t: t}
		for i := range rapid.IntRange(3, 8).Draw(t, "nodes") {
			d.tables = append(d.tables, quarantine.New(trialConfig(uint64(i+1))))
			d.names = append(d.names, "target-"+string(rune('a'+i)))
			d.upAt = append(d.upAt, 0)
		}
		resendAt := map[quarantine.Fingerprint]int{}
		crashAt, copies := d.draw("first", 0, 40), d.draw("copies", 1, 3)
		pause, crashAfter := d.draw("pause", 2, 80), d.draw("crash after", 0, 6)
		restartAt := d.draw("restart at", 0, trialSteps)
		harmlessPause := d.draw("harmless pause", 1, trialSteps)
		next := quarantine.Fingerprint(1)
		for ; d.step < trialSteps; d.step++ {
			d.deliver()
			for n, table := range d.tables {
				if d.step%10 == 0 {
					d.broadcast(n, table.Tick(d.now()))
				}
			}
			if d.step == restartAt {
				d.restart(d.draw("restarted", 0, len(d.tables)-1))
			}
			if d.step == crashAt {
				for range copies {
					d.send(crashing, crashAfter)
				}
				crashAt += pause
			}
			if d.step%harmlessPause == harmlessPause-1 {
				d.send(harmless, d.draw("harmless duration", 1, 6))
			}
			if d.step < trialSteps-100 && d.step%2 == 0 {
				if f := next; d.send(f, d.draw("duration", 1, 12)) {
					next++
				}
			}
			for f := quarantine.Fingerprint(1); f < next; f++ {
				if at, ok := resendAt[f]; ok && at <= d.step {
					delete(resendAt, f)
					if !d.send(f, 2) {
						resendAt[f] = d.step + 4
					}
				}
			}
			for i := 0; i < len(d.running); {
				if r := d.running[i]; r.endStep <= d.step {
					d.running = append(d.running[:i:i], d.running[i+1:]...)
					d.end(r, func(f quarantine.Fingerprint) { resendAt[f] = d.step + 2 })
					i = 0
					continue
				}
				i++
			}
		}
		late := 0
		for _, step := range d.crashes {
			if len(d.crashes) > 2 && step > d.crashes[2]+lateSteps {
				late++
			}
		}
		require.LessOrEqual(t, late, maxLateRuns, "crashes at steps %v, sent every %d steps", d.crashes, pause)
		for n, table := range d.tables {
			require.NotEqual(t, quarantine.Quarantined, table.Check(d.now(), harmless).State, "the harmless request at node %d", n)
		}
		for f := quarantine.Fingerprint(1); f < next; f++ {
			for n, table := range d.tables {
				require.NotEqual(t, quarantine.Quarantined, table.Check(d.now(), f).State, "request %d at node %d", f, n)
			}
		}
		require.Empty(t, resendAt, "requests that were at work at a crash are not served")
	})
}

// Guards against a quarantine of a request that is sent all the time and was at work
// when targets ended for another reason, several of them at once.
func TestRequestThatCompletesElsewhereIsNotBlamed(t *testing.T) {
	table := quarantine.New(trialConfig(1))
	table.Completed(start, 7)
	require.Empty(t, table.Crashed(start.Add(5*time.Second), []quarantine.Fingerprint{7}, nil))
	for i := range uint64(5) {
		at := start.Add(time.Duration(i) * 2 * time.Second)
		require.True(t, table.Merge(at, quarantine.Entry{Reporter: 2, Seq: i, At: at, Expiry: at.Add(time.Minute), Crashed: []quarantine.Fingerprint{7}}))
	}
	require.Equal(t, quarantine.Clear, table.Check(start.Add(9*time.Second), 7).State)

	other := quarantine.New(trialConfig(3))
	for i := range uint64(6) {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		other.Merge(at, quarantine.Entry{Reporter: i + 1, Seq: 1, At: at, Expiry: at.Add(time.Minute), Crashed: []quarantine.Fingerprint{8}})
	}
	require.Equal(t, quarantine.Suspect, other.Check(start.Add(time.Second), 8).State, "several targets ended at once")
	require.True(t, other.ObserveCompletion(start.Add(time.Second), 8))
	require.Equal(t, quarantine.Clear, other.Check(start.Add(time.Second), 8).State)
}

// Guards against an innocent request that stays suspect since the clock of the node
// that reported the crash is ahead.
func TestCrashReportOfFastClockIsClearedByCompletion(t *testing.T) {
	table := quarantine.New(trialConfig(1))
	ahead := start.Add(time.Hour)
	require.True(t, table.Merge(start, quarantine.Entry{Reporter: 2, Seq: 1, At: ahead, Expiry: ahead.Add(10 * time.Minute), Crashed: []quarantine.Fingerprint{7}}))
	require.Equal(t, quarantine.Suspect, table.Check(start, 7).State)
	table.Completed(start.Add(time.Second), 7)
	require.Equal(t, quarantine.Clear, table.Check(start.Add(time.Second), 7).State)
}

// Guards against a quarantine without end, and against one after which the request
// ends as many targets as before.
func TestQuarantineEndsWithTrial(t *testing.T) {
	table := quarantine.New(trialConfig(1))
	at := start
	table.Crashed(at, []quarantine.Fingerprint{1, 2}, nil)
	at = at.Add(time.Second)
	table.Crashed(at, []quarantine.Fingerprint{1}, nil)
	crashOnTrial := func() {
		at = at.Add(time.Second)
		require.True(t, table.BeginTrial(at, 1))
		require.False(t, table.BeginBesideOthers(at), "a suspect runs beside a trial")
		table.Crashed(at, []quarantine.Fingerprint{1}, nil)
	}
	crashOnTrial()
	require.Equal(t, quarantine.Suspect, table.Check(at, 1).State)
	crashOnTrial()
	for _, d := range []time.Duration{10 * time.Minute, 40 * time.Minute, 160 * time.Minute} {
		verdict := table.Check(at, 1)
		require.Equal(t, quarantine.Quarantined, verdict.State)
		require.Equal(t, at.Add(d), verdict.Until)
		require.False(t, table.BeginTrial(at, 1))
		at = at.Add(d)
		require.Equal(t, quarantine.Suspect, table.Check(at, 1).State)
		crashOnTrial()
	}
	table.Tick(at.Add(quarantine.MaxEntryTTL))
	require.Zero(t, table.Len())
}

// Guards against a trial without result, since the run has ended before the end of the
// target is known, as told by the report of the next process.
func TestTrialCountsWhenEndOfTargetIsKnownLate(t *testing.T) {
	table := quarantine.New(trialConfig(1))
	at := start
	for range 2 {
		table.Crashed(at, []quarantine.Fingerprint{1}, nil)
		at = at.Add(100 * time.Millisecond)
	}
	for _, innocent := range []quarantine.Fingerprint{2, 3} {
		require.Equal(t, quarantine.Suspect, table.Check(at, 1).State)
		require.True(t, table.BeginTrial(at, 1))
		table.EndTrial(1)
		at = at.Add(100 * time.Millisecond)
		table.Crashed(at, []quarantine.Fingerprint{1, innocent, 1}, []quarantine.Fingerprint{1, 1})
		require.Equal(t, quarantine.Suspect, table.Check(at, innocent).State)
	}
	require.Equal(t, quarantine.Quarantined, table.Check(at, 1).State)
}

// Guards against a request that goes on ending targets since at each end another suspect
// is at work there, one that hangs and was at work at a single other end; and against one
// of two requests that were at work at the same ends being blamed for them.
func TestTrialCountsBesideSuspectsOfFewerEnds(t *testing.T) {
	for name, c := range map[string]struct {
		endsOfOther int
		want        quarantine.State
	}{
		"fewer ends":   {endsOfOther: 1, want: quarantine.Quarantined},
		"as many ends": {endsOfOther: 2, want: quarantine.Suspect},
	} {
		t.Run(name, func(t *testing.T) {
			table := quarantine.New(trialConfig(1))
			at, others := start, []quarantine.Fingerprint{2, 3}
			for i := range 2 {
				inFlight := []quarantine.Fingerprint{1}
				if i < c.endsOfOther {
					inFlight = append(inFlight, others...)
				}
				table.Crashed(at, inFlight, nil)
				at = at.Add(100 * time.Millisecond)
			}
			for _, other := range others {
				require.True(t, table.BeginTrial(at, 1))
				table.Crashed(at, []quarantine.Fingerprint{other, 1}, nil)
				at = at.Add(100 * time.Millisecond)
				require.Equal(t, quarantine.Suspect, table.Check(at, other).State)
			}
			require.Equal(t, c.want, table.Check(at, 1).State)
		})
	}
}

// Guards against a request that is forgotten after each of its ends, since hundreds of
// others that were at work at later ends take its place in a full table.
func TestSuspectOfSeveralEndsOutlastsOthersInFullTable(t *testing.T) {
	cfg := trialConfig(1)
	cfg.MaxRecords = 8
	table := quarantine.New(cfg)
	at, next := start, quarantine.Fingerprint(2)
	for range 2 {
		table.Crashed(at, []quarantine.Fingerprint{1}, nil)
		at = at.Add(100 * time.Millisecond)
	}
	for range 3 {
		var others []quarantine.Fingerprint
		for range cfg.MaxRecords {
			others = append(others, next)
			next++
		}
		table.Crashed(at, others, nil)
		at = at.Add(100 * time.Millisecond)
		require.Equal(t, 2, table.Check(at, 1).Crashes)
	}
}

// Guards against an entry of a trial that names several requests, or that is lost in
// encoding.
func TestEntryOnTrialNamesOneRequest(t *testing.T) {
	e := quarantine.Entry{Reporter: 1, Seq: 2, At: start, Expiry: start.Add(time.Hour), Crashed: []quarantine.Fingerprint{5}, OnTrial: true}
	decoded, err := quarantine.Decode(e.Encode())
	require.NoError(t, err)
	require.Equal(t, e, decoded)
	e.Crashed = append(e.Crashed, 6)
	_, err = quarantine.Decode(e.Encode())
	require.Error(t, err)
}

// Guards against a trial that ends with its run though the target may go on with it, and
// against one that lasts longer than the target may.
func TestTrialThatEndsLater(t *testing.T) {
	table := quarantine.New(trialConfig(1))
	require.True(t, table.BeginTrial(start, 1))
	table.EndTrialAt(2, start)
	require.False(t, table.BeginTrial(start, 2), "another request has ended the trial")
	table.EndTrialAt(1, start.Add(time.Second))
	require.Equal(t, start.Add(time.Second), table.TrialUntil())
	require.False(t, table.BeginTrial(start.Add(999*time.Millisecond), 1))
	require.False(t, table.BeginBesideOthers(start.Add(999*time.Millisecond)))
	table.EndTrialAt(1, start.Add(time.Hour))
	require.True(t, table.BeginTrial(start.Add(time.Second), 1))
	for range 2 {
		table.EndTrialAt(1, start.Add(2*time.Second))
		table.Crashed(start.Add(time.Second), []quarantine.Fingerprint{1}, nil)
		require.False(t, table.TrialUntil().After(start.Add(time.Second)), "the end of the target has not ended the trial")
		table.BeginTrial(start.Add(time.Second), 1)
	}
	require.Equal(t, quarantine.Quarantined, table.Check(start.Add(time.Second), 1).State)
}

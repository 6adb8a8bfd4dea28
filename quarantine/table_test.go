package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

var start = time.Unix(1_700_000_000, 0)

// TestSecondCrashQuarantines guards the basic course: suspect, trial, quarantine, expiry.
func TestSecondCrashQuarantines(t *testing.T) {
	table := quarantine.New(quarantine.Config{Reporter: 1})
	require.Len(t, table.Crashed(start, []quarantine.Fingerprint{7, 8, 7}), 1)
	require.Equal(t, quarantine.Verdict{State: quarantine.Suspect, Crashes: 1}, table.Check(start, 7))
	require.True(t, table.BeginTrial(start, 7))
	require.False(t, table.BeginTrial(start, 8), "two suspects run at once")
	// 8 is still running from before its suspicion was known.
	table.Crashed(start.Add(time.Second), []quarantine.Fingerprint{7, 8})
	require.Equal(t, quarantine.Quarantined, table.Check(start.Add(time.Second), 7).State)
	require.Equal(t, quarantine.Suspect, table.Check(start.Add(time.Second), 8).State)
	require.False(t, table.BeginTrial(start.Add(time.Second), 7), "a quarantined request runs")
	require.Len(t, table.List(start.Add(time.Second)), 2)
	table.Completed(start.Add(2*time.Second), 8)
	require.Equal(t, quarantine.Clear, table.Check(start.Add(2*time.Second), 8).State)
	require.Len(t, table.Tick(start.Add(3*time.Second)), 1, "the completion is not published")
	require.Equal(t, quarantine.Clear, table.Check(start.Add(2*time.Hour), 7).State)
	table.Tick(start.Add(2 * time.Hour))
	require.Zero(t, table.Len())
}

// TestTrialGateReopens guards against a trial whose end is lost and that blocks
// all other suspects.
func TestTrialGateReopens(t *testing.T) {
	table := quarantine.New(quarantine.Config{Reporter: 1})
	table.Crashed(start, []quarantine.Fingerprint{1, 2})
	require.True(t, table.BeginTrial(start, 1))
	require.True(t, table.BeginTrial(start.Add(time.Minute), 2))
	table.EndTrial(2)
	require.True(t, table.BeginTrial(start.Add(time.Minute), 1))
}

// TestBoundKeepsQuarantined guards against a table that grows without bound, or
// in which a flood of suspects frees a quarantined request.
func TestBoundKeepsQuarantined(t *testing.T) {
	table := quarantine.New(quarantine.Config{Reporter: 1, MaxEntries: 50})
	table.Crashed(start, []quarantine.Fingerprint{1})
	table.Crashed(start.Add(time.Second), []quarantine.Fingerprint{1})
	var many []quarantine.Fingerprint
	for i := range 500 {
		many = append(many, quarantine.Fingerprint(100+i))
	}
	require.Len(t, table.Crashed(start.Add(2*time.Second), many), 9)
	require.Equal(t, 50, table.Len())
	require.Equal(t, quarantine.Quarantined, table.Check(start.Add(2*time.Second), 1).State)
}

// TestMergeOrder guards against tables that disagree because the same entries
// reached them in different orders, some twice.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []quarantine.Entry
		for i := range rapid.IntRange(1, 8).Draw(t, "entries") {
			e := quarantine.Entry{Reporter: 1 + uint64(i%3), Seq: uint64(i),
				At: start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "at")) * time.Second), Expiry: start.Add(time.Hour)}
			f := []quarantine.Fingerprint{quarantine.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint"))}
			if rapid.Bool().Draw(t, "crashed") {
				e.Crashed = f
			} else {
				e.Completed = f
			}
			entries = append(entries, e)
		}
		a, b := quarantine.New(quarantine.Config{Reporter: 8}), quarantine.New(quarantine.Config{Reporter: 9})
		for _, e := range entries {
			a.Merge(start, e)
		}
		for _, i := range rapid.Permutation(indices(len(entries))).Draw(t, "order") {
			b.Merge(start, entries[i])
			b.Merge(start, entries[i])
		}
		for f := quarantine.Fingerprint(1); f <= 3; f++ {
			if a.Check(start, f).State != b.Check(start, f).State {
				t.Fatalf("fingerprint %d: %v and %v", f, a.Check(start, f), b.Check(start, f))
			}
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// request is a running request of TestCrashingRequest.
type request struct {
	f      quarantine.Fingerprint
	target int
	trial  bool
	ends   int
}

// delivery is an entry on its way to a node.
type delivery struct {
	at, node int
	entry    quarantine.Entry
}

// TestCrashingRequest guards the promise of the design: a request that crashes
// its target reaches at most two targets while its caller repeats it only after
// an answer, and no request that completes stays in quarantine. Time runs in
// steps of 10 ms; entries take up to 900 ms, and the answer to a crash is held
// back for 1 s.
func TestCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const crashing = quarantine.Fingerprint(999)
		nodes := rapid.IntRange(2, 6).Draw(t, "nodes")
		crashAfter := rapid.IntRange(1, 30).Draw(t, "crash after")
		var tables []*quarantine.Table
		var names []string
		for i := range nodes {
			tables = append(tables, quarantine.New(quarantine.Config{Reporter: uint64(i + 1)}))
			names = append(names, fmt.Sprint("target-", i))
		}
		var running []request
		var onWay []delivery
		reached := map[int]bool{}
		completed := map[quarantine.Fingerprint]bool{}
		resendAt := rapid.IntRange(5, 60).Draw(t, "first send")
		now := func(step int) time.Time { return start.Add(time.Duration(step) * 10 * time.Millisecond) }
		spread := func(step, from int, effects []quarantine.Effect) {
			for _, e := range effects {
				for n := range nodes {
					if n != from {
						onWay = append(onWay, delivery{step + rapid.IntRange(1, 90).Draw(t, "delay"), n, e.(quarantine.Publish).Entry})
					}
				}
			}
		}
		submit := func(step int, f quarantine.Fingerprint, ends int) bool {
			entry := rapid.IntRange(0, nodes-1).Draw(t, "entry node")
			target := rapid.IntRange(0, nodes-1).Draw(t, "target")
			r := request{f: f, target: target, ends: ends}
			state := tables[entry].Check(now(step), f).State
			if state == quarantine.Suspect {
				for i, name := range names {
					if name == quarantine.Designated(f, names) {
						r.target = i
					}
				}
			}
			// The target's node checks again.
			if s := tables[r.target].Check(now(step), f).State; s > state {
				state = s
			}
			if state == quarantine.Quarantined {
				return false
			}
			if state == quarantine.Suspect {
				if quarantine.Designated(f, names) != names[r.target] || !tables[r.target].BeginTrial(now(step), f) {
					return false
				}
				r.trial = true
			}
			running = append(running, r)
			return true
		}
		for step := range 900 {
			var later []delivery
			for _, d := range onWay {
				if d.at <= step {
					tables[d.node].Merge(now(step), d.entry)
				} else {
					later = append(later, d)
				}
			}
			onWay = later
			for n, table := range tables {
				spread(step, n, table.Tick(now(step)))
			}
			// Innocent callers also stop, so that all news arrives by the end.
			if step < 700 && step%5 == 0 {
				f := quarantine.Fingerprint(rapid.IntRange(1, 12).Draw(t, "innocent"))
				submit(step, f, step+rapid.IntRange(1, 40).Draw(t, "duration"))
			}
			if step == resendAt {
				if submit(step, crashing, step+crashAfter) {
					reached[running[len(running)-1].target] = true
				} else {
					resendAt = step + 10
				}
			}
			for i := 0; i < len(running); i++ {
				r := running[i]
				if r.ends > step {
					continue
				}
				running = append(running[:i], running[i+1:]...)
				i--
				if r.f != crashing {
					completed[r.f] = true
					spread(step, r.target, tables[r.target].Completed(now(step), r.f))
					continue
				}
				inFlight := []quarantine.Fingerprint{r.f}
				var others []request
				for _, o := range running {
					if o.target == r.target {
						inFlight = append(inFlight, o.f)
					} else {
						others = append(others, o)
					}
				}
				running = others
				i = len(running)
				spread(step, r.target, tables[r.target].Crashed(now(step), inFlight))
				resendAt = step + 100
			}
		}
		if len(reached) > 2 {
			t.Fatalf("the crashing request reached %d targets", len(reached))
		}
		for n, table := range tables {
			if s := table.Check(now(900), crashing).State; s != quarantine.Quarantined {
				t.Fatalf("node %d: the crashing request is %v", n, s)
			}
			for f := range completed {
				if table.Check(now(900), f).State == quarantine.Quarantined {
					t.Fatalf("node %d: innocent request %d is in quarantine", n, f)
				}
			}
		}
	})
}

// FuzzDecode guards against entries from outside that panic or break a bound.
func FuzzDecode(f *testing.F) {
	e := quarantine.Entry{Reporter: 1, Seq: 2, At: start, Expiry: start.Add(time.Hour),
		Crashed: []quarantine.Fingerprint{1, 2}, Completed: []quarantine.Fingerprint{3}}
	f.Add(e.Encode())
	f.Add([]byte{})
	f.Add([]byte{0x2a, 0x07, 1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := quarantine.Decode(b)
		if err != nil {
			return
		}
		again, err := quarantine.Decode(e.Encode())
		require.NoError(t, err)
		require.Equal(t, e, again)
		table := quarantine.New(quarantine.Config{Reporter: 5})
		require.True(t, table.Merge(start, e))
		require.LessOrEqual(t, len(e.Encode()), 512)
	})
}

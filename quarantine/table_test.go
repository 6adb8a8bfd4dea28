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

// Guards against a wrong transition between the states of a request: suspect after
// one crash, on trial, quarantined after a second crash, cleared by a completion
// or by expiry.
func TestSecondCrashQuarantines(t *testing.T) {
	table := quarantine.New(quarantine.Config{Reporter: 1})
	require.Len(t, table.Crashed(start, []quarantine.Fingerprint{7, 8, 7}, nil), 1)
	require.Equal(t, quarantine.Verdict{State: quarantine.Suspect, Crashes: 1}, table.Check(start, 7))
	require.True(t, table.BeginTrial(start, 7))
	require.False(t, table.BeginTrial(start, 8), "two suspects run at once")
	// Request 8 has been running since before it became suspect.
	table.Crashed(start.Add(time.Second), []quarantine.Fingerprint{7, 8}, nil)
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

// Guards against a trial whose end is never reported and that blocks all other
// suspects.
func TestTrialTimeoutAdmitsNextSuspect(t *testing.T) {
	table := quarantine.New(quarantine.Config{Reporter: 1})
	table.Crashed(start, []quarantine.Fingerprint{1, 2}, nil)
	require.True(t, table.BeginTrial(start, 1))
	require.True(t, table.BeginTrial(start.Add(time.Minute), 2))
	table.EndTrial(2)
	require.True(t, table.BeginTrial(start.Add(time.Minute), 1))
}

// Guards against a table that grows without bound, and against many new suspects
// that evict a quarantined request.
func TestEvictionKeepsQuarantined(t *testing.T) {
	table := quarantine.New(quarantine.Config{Reporter: 1, MaxRecords: 50})
	table.Crashed(start, []quarantine.Fingerprint{1}, nil)
	table.Crashed(start.Add(time.Second), []quarantine.Fingerprint{1}, nil)
	var many []quarantine.Fingerprint
	for i := range 500 {
		many = append(many, quarantine.Fingerprint(100+i))
	}
	require.Len(t, table.Crashed(start.Add(2*time.Second), many, nil), 9)
	require.Equal(t, 50, table.Len())
	require.Equal(t, quarantine.Quarantined, table.Check(start.Add(2*time.Second), 1).State)
}

// Guards against tables that diverge because the same entries reached them in
// different orders or more than once.
func TestMergeIsOrderIndependent(t *testing.T) {
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
	fingerprint quarantine.Fingerprint
	target      int
	onTrial     bool
	endStep     int
}

// delivery is an entry in transit to a node.
type delivery struct {
	deliveryStep, node int
	entry              quarantine.Entry
}

// Guards against a crashing request that reaches more than two targets although
// its caller resends it only after a response, and against a request that
// completes but stays quarantined. A step is 10 ms; an entry takes up to 900 ms
// to arrive, and the response to a crash is held back for 1 s.
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
		var inTransit []delivery
		reachedTargets := map[int]bool{}
		completed := map[quarantine.Fingerprint]bool{}
		resendAt := rapid.IntRange(5, 60).Draw(t, "first send")
		now := func(step int) time.Time { return start.Add(time.Duration(step) * 10 * time.Millisecond) }
		broadcast := func(step, from int, effects []quarantine.Effect) {
			for _, e := range effects {
				for n := range nodes {
					if n != from {
						inTransit = append(inTransit, delivery{step + rapid.IntRange(1, 90).Draw(t, "delay"), n, e.(quarantine.Publish).Entry})
					}
				}
			}
		}
		submit := func(step int, f quarantine.Fingerprint, endStep int) bool {
			entryNode := rapid.IntRange(0, nodes-1).Draw(t, "entry node")
			target := rapid.IntRange(0, nodes-1).Draw(t, "target")
			r := request{fingerprint: f, target: target, endStep: endStep}
			state := tables[entryNode].Check(now(step), f).State
			if state == quarantine.Suspect {
				for i, name := range names {
					if name == quarantine.DesignatedTarget(f, names) {
						r.target = i
					}
				}
			}
			// The node of the target repeats the check with its own table.
			if s := tables[r.target].Check(now(step), f).State; s > state {
				state = s
			}
			if state == quarantine.Quarantined {
				return false
			}
			if state == quarantine.Suspect {
				if quarantine.DesignatedTarget(f, names) != names[r.target] || !tables[r.target].BeginTrial(now(step), f) {
					return false
				}
				r.onTrial = true
			}
			running = append(running, r)
			return true
		}
		for step := range 900 {
			var undelivered []delivery
			for _, d := range inTransit {
				if d.deliveryStep <= step {
					tables[d.node].Merge(now(step), d.entry)
				} else {
					undelivered = append(undelivered, d)
				}
			}
			inTransit = undelivered
			for n, table := range tables {
				broadcast(step, n, table.Tick(now(step)))
			}
			// Other requests stop 2 s before the end, so that all entries have arrived by then.
			if step < 700 && step%5 == 0 {
				f := quarantine.Fingerprint(rapid.IntRange(1, 12).Draw(t, "innocent"))
				submit(step, f, step+rapid.IntRange(1, 40).Draw(t, "duration"))
			}
			if step == resendAt {
				if submit(step, crashing, step+crashAfter) {
					reachedTargets[running[len(running)-1].target] = true
				} else {
					resendAt = step + 10
				}
			}
			for i := 0; i < len(running); i++ {
				r := running[i]
				if r.endStep > step {
					continue
				}
				running = append(running[:i], running[i+1:]...)
				i--
				if r.fingerprint != crashing {
					completed[r.fingerprint] = true
					broadcast(step, r.target, tables[r.target].Completed(now(step), r.fingerprint))
					continue
				}
				inFlight := []quarantine.Fingerprint{r.fingerprint}
				var others []request
				for _, other := range running {
					if other.target == r.target {
						inFlight = append(inFlight, other.fingerprint)
					} else {
						others = append(others, other)
					}
				}
				running = others
				i = len(running)
				broadcast(step, r.target, tables[r.target].Crashed(now(step), inFlight, nil))
				resendAt = step + 100
			}
		}
		if len(reachedTargets) > 2 {
			t.Fatalf("the crashing request reached %d targets", len(reachedTargets))
		}
		for n, table := range tables {
			if s := table.Check(now(900), crashing).State; s != quarantine.Quarantined {
				t.Fatalf("node %d: the crashing request is %v", n, s)
			}
			for f := range completed {
				if table.Check(now(900), f).State == quarantine.Quarantined {
					t.Fatalf("node %d: completed request %d is quarantined", n, f)
				}
			}
		}
	})
}

// Guards against received entries that cause a panic or exceed a bound.
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

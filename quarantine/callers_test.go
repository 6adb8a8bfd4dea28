package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

var (
	fromOrders  = quarantine.FingerprintOf("orders", "GET", "archive", "/7", nil)
	fromCatalog = quarantine.FingerprintOf("catalog", "GET", "archive", "/7", nil)
	fromPricing = quarantine.FingerprintOf("pricing", "GET", "archive", "/7", nil)
)

// crashOnTrial lets f crash the target on trial once a second, n times.
func crashOnTrial(t *testing.T, table *quarantine.Table, from time.Time, f quarantine.Fingerprint, n int) time.Time {
	for range n {
		from = from.Add(time.Second)
		require.True(t, table.BeginTrial(from, f))
		table.Crashed(from, []quarantine.Fingerprint{f}, nil)
	}
	return from
}

// Guards against a crashing request that is cleared by completions of the same request of
// another caller, for which the target does not end.
func TestCompletionOfAnotherCallerClearsNothing(t *testing.T) {
	table := quarantine.New(trialConfig(1))
	at := start
	for range 4 {
		at = at.Add(2 * time.Second)
		table.Completed(at, fromCatalog)
		table.Crashed(at.Add(trialStep), []quarantine.Fingerprint{fromOrders}, nil)
		table.Completed(at.Add(2*trialStep), fromCatalog)
		require.Equal(t, quarantine.Clear, table.Check(at.Add(3*trialStep), fromCatalog).State)
	}
	require.Equal(t, quarantine.Quarantined, table.Check(at.Add(time.Second), fromOrders).State)
}

// Guards against a harmless request that is refused because of the crashes under the same
// request of another caller, also if it was at work at one of them, and against one that
// stays suspect at the other nodes after it has completed.
func TestHarmlessRequestIsTriedAndCleared(t *testing.T) {
	for name, atWork := range map[string][]quarantine.Fingerprint{
		"away":    {fromOrders},
		"at work": {fromOrders, fromCatalog},
	} {
		t.Run(name, func(t *testing.T) {
			table, other := quarantine.New(trialConfig(1)), quarantine.New(trialConfig(2))
			merge := func(effects []quarantine.Effect) {
				for _, e := range effects {
					entry := e.(quarantine.Publish).Entry
					require.True(t, other.Merge(entry.At, entry))
				}
			}
			merge(table.Crashed(start, atWork, nil))
			at := start
			for range 2 {
				at = at.Add(time.Second)
				require.True(t, table.BeginTrial(at, fromOrders))
				merge(table.Crashed(at, []quarantine.Fingerprint{fromOrders}, nil))
			}
			for _, node := range []*quarantine.Table{table, other} {
				require.Equal(t, quarantine.Quarantined, node.Check(at, fromOrders).State)
				require.Equal(t, quarantine.Verdict{State: quarantine.Suspect, Crashes: 3}, node.Check(at, fromCatalog))
			}
			at = at.Add(time.Second)
			require.True(t, table.BeginTrial(at, fromCatalog))
			merge(table.Completed(at, fromCatalog))
			merge(table.Tick(at.Add(time.Second)))
			for _, node := range []*quarantine.Table{table, other} {
				require.Equal(t, quarantine.Clear, node.Check(at, fromCatalog).State)
				require.Equal(t, quarantine.Quarantined, node.Check(at, fromOrders).State)
			}
		})
	}
}

// Guards against a crashing request that, for each of its callers, first runs at several
// targets at once.
func TestCrashesUnderOneCallerMakeOthersSuspect(t *testing.T) {
	table := quarantine.New(trialConfig(1))
	table.Crashed(start, []quarantine.Fingerprint{fromOrders}, nil)
	at := crashOnTrial(t, table, start, fromOrders, 2)
	for _, f := range []quarantine.Fingerprint{fromCatalog, fromPricing} {
		verdict := table.Check(at, f)
		require.Equal(t, quarantine.Suspect, verdict.State)
		require.Greater(t, verdict.Crashes, 1, "it does not run on trial")
		at = crashOnTrial(t, table, at, f, 2)
		require.Equal(t, quarantine.Quarantined, table.Check(at, f).State)
		require.False(t, table.BeginTrial(at, f))
	}
	table.Tick(at.Add(quarantine.MaxEntryTTL))
	require.Zero(t, table.Len())
	require.Equal(t, quarantine.Clear, table.Check(at.Add(quarantine.MaxEntryTTL), fromOrders).State)
}

// Guards against two callers of one crashing request, both at work at an end of a target,
// that keep each other from being judged.
func TestCallersOfOneRequestAreNoRivals(t *testing.T) {
	table := quarantine.New(trialConfig(1))
	table.Crashed(start, []quarantine.Fingerprint{fromOrders}, nil)
	at := start
	for range 2 {
		at = at.Add(time.Second)
		require.True(t, table.BeginTrial(at, fromOrders))
		table.Crashed(at, []quarantine.Fingerprint{fromCatalog, fromOrders}, nil)
	}
	require.Equal(t, quarantine.Quarantined, table.Check(at, fromOrders).State)
	require.Equal(t, quarantine.Suspect, table.Check(at, fromCatalog).State)
}

// Guards against a crasher that an earlier version has reported, here or in a record of
// the store, and that is unknown to this one. The earlier version has no caller in its
// fingerprints; this is the one that it computed.
func TestReportOfEarlierVersionMakesSuspect(t *testing.T) {
	const earlier = quarantine.Fingerprint(0xdf46d445081d87ca)
	require.Equal(t, earlier.Content(), fromOrders.Content())
	require.Equal(t, earlier.Content(), fromCatalog.Content())
	require.NotEqual(t, fromOrders, fromCatalog)
	table := quarantine.New(trialConfig(1))
	for i := range uint64(2) {
		require.True(t, table.Merge(start, quarantine.Entry{Reporter: 2, Seq: i, At: start, Expiry: start.Add(time.Hour), Crashed: []quarantine.Fingerprint{earlier}, OnTrial: true}))
	}
	require.Equal(t, quarantine.Verdict{State: quarantine.Suspect, Crashes: 2}, table.Check(start, fromOrders))
	at := crashOnTrial(t, table, start, fromOrders, 2)
	require.Equal(t, quarantine.Quarantined, table.Check(at, fromOrders).State)
}

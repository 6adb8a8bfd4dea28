package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func traces(t *testing.T) []string {
	paths, err := filepath.Glob("../../testdata/*.jsonl")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	return paths
}

// Guards against a missed objective. The traces that miss one at present are
// in KNOWN-RED.txt; they are printed and do not fail, and a trace that meets
// its objectives must not be listed.
func TestTracesMeetTheirObjectives(t *testing.T) {
	data, err := os.ReadFile("../../KNOWN-RED.txt")
	require.NoError(t, err)
	known := string(data)
	for _, path := range traces(t) {
		name := strings.TrimSuffix(filepath.Base(path), ".jsonl")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			ok, err := Run(&out, path)
			require.NoError(t, err)
			t.Logf("\n%s", out.String())
			if strings.Contains(known, "TestTracesMeetTheirObjectives/"+name+" ") {
				require.False(t, ok, "meets its objectives now; remove it from KNOWN-RED.txt")
				t.Logf("KNOWN RED: %s", name)
				return
			}
			require.True(t, ok, "an objective is missed")
		})
	}
}

// Guards against a replay that depends on anything but the trace, such as the
// order of a map.
func TestReplayPrintsTheSameBytes(t *testing.T) {
	path := "../../testdata/qureshi-e-silent-connections.jsonl"
	var first, second bytes.Buffer
	_, err := Run(&first, path)
	require.NoError(t, err)
	_, err = Run(&second, path)
	require.NoError(t, err)
	require.Equal(t, first.String(), second.String())
}

// Guards against a layer that changes what callers get when nothing is wrong:
// at light load every response equals that of the naive version.
func TestLightLoadEqualsNaive(t *testing.T) {
	for _, path := range traces(t) {
		if !strings.Contains(path, "-a-") {
			continue
		}
		for seed := range uint64(3) {
			trace, err := Load(path)
			require.NoError(t, err)
			trace.Events = slices.DeleteFunc(trace.Events, func(e Event) bool { return e.Fault != "" })
			*trace.Events[0].Arrivals /= 5
			trace.Events = trace.Events[:1]
			trace.Head.Seed, trace.Head.DurationMS = 100+seed, 5000
			before, after := replay(trace, newNaive).ledger, replay(trace, newLayer).ledger
			require.Equal(t, len(before.requests), len(after.requests))
			require.NotEmpty(t, before.requests)
			require.Equal(t, before.effects, after.effects)
			for i, b := range before.requests {
				a := after.requests[i]
				require.Equal(t, b.op.Name, a.op.Name)
				require.Equal(t, b.response, a.response, "%s, request %d", path, b.id)
				require.False(t, a.answeredAt.IsZero(), "%s, request %d", path, a.id)
				require.Equal(t, 1, a.attempts)
			}
		}
	}
}

// Guards against an objective that is measured against too low a bound.
func TestAllowedFollowsTheSlots(t *testing.T) {
	rate := 100.0
	trace := &Trace{
		Head: Head{
			Services: []Service{{Name: "a", Targets: 2, Slots: 5}, {Name: "b", Targets: 1, Slots: 4}},
			Operations: []Operation{
				{Name: "first", Service: "a", Importance: 0, OwnMS: 50},
				{Name: "second", Service: "a", Importance: 1, OwnMS: 9.6, Calls: []string{"deep"}},
				{Name: "deep", Service: "b", Importance: 1, OwnMS: 40},
			},
		},
		Events: []Event{{Until: 2000, Arrivals: &rate, Mix: map[string]float64{"first": 0.5, "second": 1.5}}},
	}
	// 50 per second of the first take 2.5 of 10 slots; the second takes 50 ms of
	// the other 7.5 and 40 ms of 4, so at most 100 of its 150 per second run.
	require.InDelta(t, 300, allowed(trace, 0, ms(2000)), 0.01)
	trace.Events = append(trace.Events, Event{At: 1000, Fault: FaultSlow, Service: "b", Factor: 4})
	// In the second half the lookup takes 160 ms: 25 per second.
	require.InDelta(t, 150+75, allowed(trace, 0, ms(2000)), 0.01)
}

// Guards against a trace that is replayed although a part of it is not
// understood.
func TestLoadNamesTheFaultyLine(t *testing.T) {
	head := `{"deployment":"d","services":[{"name":"a","targets":1,"slots":1}],"operations":[{"name":"x","service":"a"}]}` + "\n"
	for text, want := range map[string]string{
		head + "{":                                         ":2:",
		head + `{"fault":"flood"}`:                         "unknown fault",
		head + `{"mix":{"y":1}}`:                           `no operation "y"`,
		head + `{"at_ms":1,"rate":3}`:                      ":2:",
		strings.Replace(head, `"a","targ`, `"b","targ`, 1): `no service "a"`,
	} {
		path := filepath.Join(t.TempDir(), "trace.jsonl")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(path)
		require.ErrorContains(t, err, want)
	}
}

// Guards against a comparison of load reports in which one kind sends nothing.
// Its figures are in docs/measurements-replay.md.
func TestLoadReportsCompared(t *testing.T) {
	for _, name := range []string{"qureshi-a-slow-and-surge", "takstolshuset-a-slow-and-surge"} {
		trace, err := Load("../../testdata/" + name + ".jsonl")
		require.NoError(t, err)
		for how, label := range []string{withResponses: "with responses", periodically: "periodic", onCrossing: "on crossing"} {
			var l *layer
			w := replay(trace, func(w *world) system {
				l = newLayerReporting(w, reporting(how))
				return l
			})
			f := w.figures(trace)
			t.Logf("%s, %s: %d bytes, goodput of allowed %.4f, important answered %.4f, recovery %.0f ms",
				name, label, l.reported, f[figureGoodput], f[figureImportant], f[figureRecovery])
			require.Positive(t, l.reported)
		}
	}
}

package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// tail is how long the replay goes on after the last arrival, so that every
// request ends.
const tail = 10 * time.Second

// Run replays the trace at path through both versions, prints their figures
// side by side and checks goldcrestsail against the outcomes stated beside the
// trace. ok reports that every stated bound holds. The error says that the
// trace or its outcomes cannot be read, or that out failed.
func Run(out io.Writer, path string) (ok bool, err error) {
	t, err := Load(path)
	if err != nil {
		return false, err
	}
	stated, err := loadOutcomes(path)
	if err != nil {
		return false, err
	}
	before := replay(t, newNaive).figures(t)
	after := replay(t, newLayer).figures(t)
	text, ok, err := report(t, stated, before, after)
	if err != nil {
		return false, err
	}
	if _, err := io.WriteString(out, text); err != nil {
		return false, kind.Class.Wrap(err)
	}
	return ok, nil
}

// replay runs the trace through one version.
func replay(t *Trace, make func(*world) system) *world {
	w := newWorld(t, make)
	w.runUntil(w.start.Add(ms(t.Head.DurationMS) + tail))
	return w
}

// report formats the figures of both versions and the verdicts.
func report(t *Trace, stated *Outcomes, before, after figures) (text string, ok bool, err error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d, %d ms\n%s\n\n", t.Head.Deployment, t.Head.Seed, t.Head.DurationMS, stated.Basis)
	fmt.Fprintf(&b, "%-26s %12s %14s  %s\n", "", "naive", "goldcrestsail", "objective")
	ok = true
	names := slices.Sorted(maps.Keys(after))
	for _, bound := range stated.Bounds {
		value, known := after[bound.Figure]
		if !known {
			return "", false, kind.Class.New("the outcomes name the figure %q, which this trace does not have", bound.Figure)
		}
		verdict := "met"
		if !bound.holds(value) {
			verdict, ok = "MISSED", false
		}
		objective := ""
		if bound.Min != nil {
			objective = ">= " + number(*bound.Min)
		}
		if bound.Max != nil {
			objective += "<= " + number(*bound.Max)
		}
		fmt.Fprintf(&b, "%-26s %12s %14s  %s %s\n", bound.Figure, number(before[bound.Figure]), number(value), objective, verdict)
		names = slices.DeleteFunc(names, func(n string) bool { return n == bound.Figure })
	}
	for _, name := range names {
		fmt.Fprintf(&b, "%-26s %12s %14s\n", name, number(before[name]), number(after[name]))
	}
	return b.String(), ok, nil
}

// number formats a figure with at most four decimals.
func number(v float64) string {
	s := strconv.FormatFloat(v, 'f', 4, 64)
	return strings.TrimSuffix(strings.TrimRight(s, "0"), ".")
}

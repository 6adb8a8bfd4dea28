package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, value func(*Result) string) {
		fmt.Fprintf(w, "%s\t%s\t%s\t\n", name, value(r.Naive), value(r.Controlled))
	}
	fmt.Fprintf(w, "%s, seed %d\tnaive\tgoldcrestsail\t\n", r.Deployment, r.Seed)
	row("goodput before (1/s)", func(x *Result) string { return fmt.Sprintf("%.0f", x.GoodputBefore) })
	row("goodput under overload (1/s)", func(x *Result) string { return fmt.Sprintf("%.0f", x.Goodput) })
	row("recovery (s)", func(x *Result) string {
		if !x.Recovered {
			return fmt.Sprintf("> %.2f", x.RecoverySeconds)
		}
		return fmt.Sprintf("%.2f", x.RecoverySeconds)
	})
	row("duplicate effects", func(x *Result) string { return fmt.Sprint(x.DuplicateEffects) })
	row("incomplete answers", func(x *Result) string { return fmt.Sprint(x.IncompleteAnswers) })
	row("false not-run", func(x *Result) string { return fmt.Sprint(x.FalseNotRun) })
	row("most retries of a request", func(x *Result) string { return fmt.Sprint(x.MaxRetriesPerRequest) })
	for _, name := range slices.Sorted(maps.Keys(r.Controlled.Classes)) {
		row(name+" answered under overload", func(x *Result) string {
			c := x.Classes[name]
			if c == nil || c.Offered == 0 {
				return "-"
			}
			return fmt.Sprintf("%.1f%%", 100*float64(c.Answered)/float64(c.Offered))
		})
	}
	w.Flush()
}

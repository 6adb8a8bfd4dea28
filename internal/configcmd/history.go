package configcmd

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/goldcrestsail/goldcrestsail/configlog"
)

// History lists the recent changes with their outcome, oldest first.
func History(ctx context.Context, env Env, logURL string) int {
	client := env.client(logURL)
	if client == nil {
		return ExitUsage
	}
	state, err := readLog(ctx, client)
	if err != nil {
		env.errorf("config history: %v", err)
		return ExitFailure
	}
	w := tabwriter.NewWriter(env.Stdout, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "OFFSET\tTIME\tSERVICE\tCHANGE\tOUTCOME\tAUTHOR\tCHANGE ID")
	for _, r := range state.Results() {
		service, change := "-", "-"
		if r.Name.Service != "" {
			service, change = r.Name.String(), fmt.Sprintf("schema %d %s from revision %d", r.Schema, r.Op, r.Base)
		}
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Offset, r.Time.Format(time.RFC3339), service, change, outcome(&r), dash(r.Author), dash(r.ID))
	}
	if err := w.Flush(); err != nil {
		env.errorf("config history: %v", err)
		return ExitFailure
	}
	return ExitOK
}

func outcome(r *configlog.Result) string {
	switch r.Outcome {
	case configlog.Accepted:
		return fmt.Sprintf("accepted as revision %d", r.Revision)
	case configlog.Duplicate:
		return fmt.Sprintf("duplicate of offset %d", r.First)
	}
	if len(r.Faults) > 0 {
		return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Faults[0].Field)
	}
	return fmt.Sprintf("%s: %s", r.Outcome, r.Reason)
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

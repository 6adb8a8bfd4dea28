package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/goldcrestsail/goldcrestsail/internal/demo"
)

func newDemoCommand() *command {
	options := demo.Options{Deployment: "qureshi", Duration: demo.DefaultDuration, Seed: 1}
	asJSON := false
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "Run a deployment on loopback sockets through an overload, with and without goldcrestsail."
	sub.String(&options.Deployment, "", "deployment", "qureshi or takstolshuset.")
	sub.Duration(&options.Duration, "", "duration", "Length of each of the two runs.")
	sub.UInt64(&options.Seed, "", "seed", "Seed of the load.")
	sub.String(&options.Record, "", "record", "Write the load as a trace for the command replay to this file (.jsonl).")
	sub.Bool(&asJSON, "", "json", "Print one JSON object.")
	return &command{sub: sub, run: func() int {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		options.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
		report, err := demo.Run(ctx, options)
		if err != nil {
			return fail(err)
		}
		if !asJSON {
			report.WriteTable(os.Stdout)
			return exitOK
		}
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return fail(err)
		}
		return exitOK
	}}
}

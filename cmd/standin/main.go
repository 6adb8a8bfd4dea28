// Command standin runs stand-ins for the services of the platform, one per
// subcommand, for tests, training and the demo.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
)

// command is a subcommand. Its flags are attached to sub.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, log hclog.Logger) error
}

func main() {
	log := hclog.New(&hclog.LoggerOptions{Name: "standin", Output: os.Stderr, JSONFormat: true})
	commands := []*command{newLogCommand(), newTargetCommand()}
	flaggy.SetName("standin")
	flaggy.SetDescription("Stand-ins for the platform, for tests and training.")
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for _, c := range commands {
		if c.sub.Used {
			if err := c.run(ctx, log); err != nil {
				log.Error("stopped", "command", c.sub.Name, "error", err)
				os.Exit(1)
			}
			return
		}
	}
	flaggy.ShowHelp("a subcommand is required")
	os.Exit(2)
}

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/goldcrestsail/goldcrestsail/internal/configcmd"
)

// newConfigCommand returns the command "config" with its subcommands. trailing
// returns the arguments that the parser did not assign.
func newConfigCommand(trailing func() []string) *command {
	var url, service, id string
	sub := flaggy.NewSubcommand("config")
	sub.Description = "Check, publish and show configuration."
	env := configcmd.Env{Stdout: os.Stdout, Stderr: os.Stderr}
	withLog := func(name, description string) *flaggy.Subcommand {
		s := flaggy.NewSubcommand(name)
		s.Description = description
		s.String(&url, "", "log", "Base URL of the log service.")
		sub.AttachSubcommand(s, 1)
		return s
	}
	var first string
	check := flaggy.NewSubcommand("check")
	check.Description = "Validate change files and report all errors: config check FILE..."
	sub.AttachSubcommand(check, 1)
	publish := withLog("publish", "Append changes and report whether each was accepted: config publish FILE... --log URL")
	publish.String(&id, "", "id", "Change ID in place of the file's; with one file only.")
	for _, s := range []*flaggy.Subcommand{check, publish} {
		s.AddPositionalValue(&first, "FILE", 1, true, "Change file, JSON with comments; several may follow.")
	}
	show := withLog("show", "List the policies in force, or print the policy of one service as a change file.")
	show.String(&service, "", "service", "Service as SERVICE.CUSTOMER.")
	history := withLog("history", "List recent changes and their outcomes.")
	return &command{sub: sub, takesFiles: func() bool { return check.Used || publish.Used }, run: func() int {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		files := append([]string{first}, trailing()...)
		switch {
		case check.Used:
			return configcmd.Check(env, files)
		case publish.Used:
			return configcmd.Publish(ctx, env, configcmd.PublishArgs{Files: files, LogURL: url, ID: id})
		case show.Used:
			return configcmd.Show(ctx, env, url, service)
		case history.Used:
			return configcmd.History(ctx, env, url)
		}
		flaggy.ShowHelp("one of the subcommands check, publish, show and history is required")
		return exitUsage
	}}
}

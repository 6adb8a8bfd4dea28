package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// crashExitCode is the exit code when a request has crashed the target.
const crashExitCode = 3

const (
	// drainNotice is the time between announcing a drain and closing the
	// listener. Announcements are sent every 500 ms; the node beside the target
	// needs to receive one and to send the requests it has already admitted.
	drainNotice = 2 * time.Second
	// drainTimeout bounds the whole drain, including drainNotice.
	drainTimeout = time.Minute
)

// newTargetCommand returns the command "target", a stand-in for a customer's
// target with slots, a service time and sub-calls.
func newTargetCommand() *command {
	config := target.Config{Address: "127.0.0.1:0", Slots: 10, ServiceTime: 20 * time.Millisecond, Exit: func() { os.Exit(crashExitCode) }}
	var service string
	var calls []string
	sub := flaggy.NewSubcommand("target")
	sub.Description = "Run a target that announces itself to the node beside it."
	sub.String(&service, "", "service", "Service as SERVICE.CUSTOMER.")
	sub.String(&config.Address, "", "listen", "Address to listen on.")
	sub.String(&config.NodeAddress, "", "node", "Target-side address of the node beside the target.")
	sub.String(&config.AnnouncedAddress, "", "announce", "Address to announce in place of the listen address.")
	sub.String(&config.LedgerURL, "", "ledger", "Base URL of a ledger that records starts and effects.")
	sub.Int(&config.Slots, "", "slots", "Requests served at once.")
	sub.Duration(&config.ServiceTime, "", "service-time", "Mean time that a request takes.")
	sub.String(&config.CrashPath, "", "crash-path", "Path prefix whose requests crash the process.")
	sub.StringSlice(&calls, "", "call", "Sub-call of each request, as SERVICE.CUSTOMER/PATH.")
	return &command{sub: sub, run: func(ctx context.Context, log hclog.Logger) error {
		name, err := policy.ParseServiceName(service)
		if err != nil {
			return err
		}
		config.Customer, config.Service = name.Customer, name.Service
		for _, c := range calls {
			callee, path, _ := strings.Cut(c, "/")
			config.Calls = append(config.Calls, target.SubCall{Service: callee, Path: "/" + path})
		}
		t := target.New(config)
		if err := t.Start(); err != nil {
			return err
		}
		log.Info("listening", "address", t.Address(), "service", service)
		<-ctx.Done()
		drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		t.Drain(drainCtx, drainNotice)
		return nil
	}}
}

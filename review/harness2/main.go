// Command harness2 runs the script cases of the second review: it starts the nodes of
// the project as processes of their own, beside stand-ins for clients, backends and the
// platform's store.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime ends a case that takes too long.
const maxTime = 110 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by name. Each returns its exit code; trouble is false for the
// run without the disruption.
var cases = map[string]func(r *record, trouble bool) (int, error){
	"crash-after-kill":  crashAfterKill,
	"crash-error-page":  crashErrorPage,
	"crash-give-up":     crashGiveUp,
	"crash-twin":        crashTwin,
	"limits-raised":     limitsRaised,
	"smuggled":          smuggled,
	"stale-after-drill": staleAfterDrill,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE DIRECTORY")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	if _, err := os.Stat(program); err != nil {
		r.line("the node is not built: %v", err)
		os.Exit(failed)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(maxTime):
		}
		r.line("ended early")
		killStarted()
		os.Exit(failed)
	}()
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	os.Exit(code)
}

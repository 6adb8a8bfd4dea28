// Command standin3 plays one case of the third review: it starts nodes as processes, and
// is itself the stand-in for the store, the operator, the backends and the clients.
//
//	standin3 CASE NODE-PROGRAM RECORD-FILE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime ends a case that hangs.
const maxRunTime = 115 * time.Second

// play is what a case gets.
type play struct {
	*record
	program string
	// trouble is false if the disruption is left out.
	trouble bool
	// storeFor, if not nil, returns the address by which the node of a machine reaches the
	// store with the given one.
	storeFor func(name, address string) (string, error)
	// zones is the number of zones, 2 if it is 0.
	zones int
	// deployment is set by start.
	deployment *deployment
}

// cases run a case and return the number of breaches of its rule.
var cases = map[string]func(*play) (breaches int, err error){
	"foreign-heartbeat":      foreignHeartbeat,
	"foreign-caller":         foreignCaller,
	"departure-of-restarted": departureOfRestarted,
	"leaving-of-restarted":   leavingOfRestarted,
	"config-of-followers":    configOfFollowers,
	"budget-of-isolated":     budgetOfIsolated,
	"crash-after-answer":     crashAfterAnswer,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE NODE-PROGRAM RECORD-FILE")
		return 2
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p := &play{record: rec, program: args[1], trouble: os.Getenv("TROUBLE") != "0"}
	p.note("case %s, trouble %t", args[0], p.trouble)
	type result struct {
		breaches int
		err      error
	}
	ended := make(chan result, 1)
	go func() {
		breaches, err := cases[args[0]](p)
		ended <- result{breaches, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	var r result
	select {
	case r = <-ended:
	case received := <-signals:
		r.err = fmt.Errorf("%v", received)
	case <-time.After(maxRunTime):
		r.err = errors.New("the case has not ended in time")
	}
	if p.deployment != nil {
		p.deployment.stop()
	}
	status := 0
	switch {
	case r.err != nil:
		p.note("could not run: %v", r.err)
		status = 2
	case r.breaches > 0:
		p.note("the rule was broken: %d breaches", r.breaches)
		status = 1
	default:
		p.note("the rule held")
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return status
}

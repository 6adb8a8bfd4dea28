// Command harness runs the scripted cases of the review: it starts node processes as the
// deploy file does, on loopback addresses, beside stand-ins for clients, backends and
// the platform. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime bounds a case.
const maxRunTime = 110 * time.Second

// scenario plays a case, with its disruption if trouble is true. It returns a text for
// each break of the rule.
type scenario func(rec *record, trouble bool) (breaks []string, err error)

var scenarios = map[string]scenario{
	"head-refused":        headRefused,
	"spoiled-head":        spoiledHead,
	"lost-departure":      lostDeparture,
	"earlier-incarnation": earlierIncarnation,
	"late-heartbeat":      lateHeartbeat,
	"reused-address":      reusedAddress,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	// A closed output must not end the harness before it has ended its processes.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	go endEarly()
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	breaks, err := scenarios[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	for _, b := range breaks {
		rec.printf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case len(breaks) > 0:
		os.Exit(1)
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
}

// endEarly ends all processes when the harness is told to stop or takes too long.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	if d := running.Load(); d != nil {
		d.close()
	}
	fmt.Println("the case was ended early")
	os.Exit(2)
}

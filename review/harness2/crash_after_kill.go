package main

import (
	"sync"
	"time"
)

const (
	// roundInterval is the time between the rounds in which the request comes again.
	roundInterval = 6 * time.Second
	rounds        = 6
	// copies is how many clients send it in a round, each at a machine of its own.
	copies = 6
)

// crashAfterKill sends a request that crashes each backend. After it has crashed three of
// them, all nodes are killed and started again; then the request comes again.
func crashAfterKill(r *record, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"katalog"}, 6, []route{{host: "katalog.example", prefix: "/read/", service: "katalog", unsafe: true, timeoutS: 5, maxAttempts: 2}})
	if err != nil {
		return failed, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	for i := range 12 {
		if a := d.send(d.machines[i%len(d.machines)], "POST", "katalog.example", "/read/ok", "", 5*time.Second); a.status != 200 {
			r.line("warm-up got %d", a.status)
		}
	}
	path := crashPrefix + "/1"
	for round := range rounds {
		r.line("round %d", round+1)
		var all sync.WaitGroup
		for i := range copies {
			all.Go(func() {
				d.send(d.machines[(i+round)%len(d.machines)], "POST", "katalog.example", path, "", 5*time.Second)
			})
		}
		all.Wait()
		next := time.Now().Add(roundInterval)
		if round == 0 && trouble {
			time.Sleep(time.Second)
			if err := d.killAll(500 * time.Millisecond); err != nil {
				return failed, err
			}
			next = time.Now().Add(roundInterval)
		}
		time.Sleep(time.Until(next))
	}
	if n := len(d.allCrashes()); n < 3 {
		r.line("only %d backends crashed", n)
		return failed, nil
	}
	return d.judgeCrashing(d.thirdCrash(), "katalog"), nil
}

package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// impatience is half the latency objective of the route: clients that give up leave
	// within that time.
	impatience = 100 * time.Millisecond
	// patientClients is how many clients wait for their answers. Beside the six that send
	// the crashing request, and leave, they make up seven tenths of all.
	patientClients = 14
	// comesAgainFor is how long the request comes again.
	comesAgainFor = 6 * time.Second
	// slowCrash is how long the request is at work before the backend crashes.
	slowCrash = 300 * time.Millisecond
)

// crashGiveUp sends a request that crashes each backend. After it has crashed three of
// them it comes again at all machines, from clients that leave before they are answered.
func crashGiveUp(r *record, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"pris"}, 6, []route{{host: "pris.example", prefix: "/read/", service: "pris", timeoutS: 1.2, maxAttempts: 2}})
	if err != nil {
		return failed, err
	}
	defer d.stop()
	for _, m := range d.machines {
		m.backend.crashAfter = slowCrash
	}
	if err := d.start(); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	path, deadline := crashPrefix+"/1", 800*time.Millisecond
	for i := 0; len(d.allCrashes()) < 3; i++ {
		if i == 10 {
			r.line("%d backends crashed only", len(d.allCrashes()))
			return failed, nil
		}
		d.send(d.machines[i%len(d.machines)], "GET", "pris.example", path, "", deadline)
		time.Sleep(downTime + 2*heartbeat)
	}
	third := d.thirdCrash()
	time.Sleep(time.Until(third.Add(contactTime + time.Second)))
	r.line("the request comes again at all machines")
	end := time.Now().Add(comesAgainFor)
	var all sync.WaitGroup
	for i := range patientClients {
		all.Go(func() {
			for time.Now().Before(end) {
				d.send(d.machines[i%len(d.machines)], "GET", "pris.example", "/read/quote", "", deadline)
				time.Sleep(50*time.Millisecond + rand.N(100*time.Millisecond))
			}
		})
	}
	for _, m := range d.machines {
		all.Go(func() {
			for time.Now().Before(end) {
				patience := deadline
				if trouble {
					patience = impatience/5 + rand.N(impatience*4/5)
				}
				d.sendAndLeave(m, "GET", "pris.example", path, "", deadline, patience)
				time.Sleep(50*time.Millisecond + rand.N(100*time.Millisecond))
			}
		})
	}
	all.Wait()
	return d.judgeCrashing(third, "pris"), nil
}

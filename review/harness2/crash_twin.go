package main

import (
	"os"
	"sync"
	"time"
)

const (
	// twinInterval is the time between the harmless requests of one machine.
	twinInterval = 200 * time.Millisecond
)

// crashTwin sends a request that crashes each backend when machines of the service order
// send it. Machines of the service katalog send a request with the same path and an empty
// body as well, which is harmless: a crashing request is known by path, caller and body.
func crashTwin(r *record, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"arkiv", "order", "katalog"}, 4, []route{{host: "arkiv.example", prefix: "/read/", service: "arkiv", timeoutS: 5, maxAttempts: 2}})
	if err != nil {
		return failed, err
	}
	defer d.stop()
	path := crashPrefix + "/level-7"
	for _, m := range d.machines {
		m.backend.harmlessFrom = "katalog"
	}
	if err := d.start(); err != nil {
		return failed, err
	}
	order, katalog := d.machines[4:8], d.machines[8:12]
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var all sync.WaitGroup
	if os.Getenv("TWIN") == "0" {
		// Shows the cause: without the harmless requests the rule holds.
		katalog = nil
	}
	for _, m := range katalog {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(twinInterval):
				}
				d.send(m, "GET", "arkiv.example", path, "", 5*time.Second)
			}
		})
	}
	time.Sleep(contactTime)
	if trouble {
		for i := range crashComes {
			r.line("the crashing request comes, time %d", i+1)
			d.send(order[i%len(order)], "GET", "arkiv.example", path, "", 5*time.Second)
			time.Sleep(crashInterval)
		}
	} else {
		time.Sleep(crashComes * crashInterval)
	}
	close(stop)
	all.Wait()
	if !trouble {
		if n := len(d.allCrashes()); n > 0 {
			r.line("%d backends crashed without a crashing request", n)
			return failed, nil
		}
		r.line("no backend crashed")
		return held, nil
	}
	if n := len(d.allCrashes()); n < 3 {
		r.line("only %d backends crashed", n)
		return failed, nil
	}
	return d.judgeCrashing(d.thirdCrash(), "order"), nil
}

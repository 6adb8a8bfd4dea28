package main

import "time"

// crashErrorPage sends a request that crashes each backend. As it ends, the backend still sends
// an error page of its runtime, which is no answer: it bears no Response-Seal.
func crashErrorPage(r *record, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"katalog"}, 6, []route{{host: "katalog.example", prefix: "/read/", service: "katalog", timeoutS: 5, maxAttempts: 2}})
	if err != nil {
		return failed, err
	}
	defer d.stop()
	for _, m := range d.machines {
		m.backend.errorPage = trouble
	}
	if err := d.start(); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	for i := range crashComes {
		r.line("the crashing request comes, time %d", i+1)
		d.send(d.machines[i%len(d.machines)], "GET", "katalog.example", crashPrefix+"/1", "", 5*time.Second)
		time.Sleep(crashInterval)
	}
	if n := len(d.allCrashes()); n < 3 {
		r.line("only %d backends crashed", n)
		return failed, nil
	}
	return d.judgeCrashing(d.thirdCrash(), "katalog"), nil
}

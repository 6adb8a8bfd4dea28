package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lateHeartbeat replaces the machine of a backend: the backend crashes, and after more
// than reuseDelayS its address goes to a machine with a backend of another service. The
// last heartbeat of the old backend arrives while the new backend is still starting.
// Clients of the new machine send requests from the moment at which it is ready.
func lateHeartbeat(rec *record, trouble bool) ([]string, error) {
	services := []string{"sorthouse", "binwatch", "paydesk"}
	d, err := newDeployment(rec, configText(3, services,
		route{"sort-result", "sort.example", "safe", "sorthouse", 5, 1.5, 0},
		route{"payout", "pay.example", "unsafe", "paydesk", 5, 1.5, 0},
		route{"bin-level", "bin.example", "safe", "binwatch", 5, 1.2, 2}))
	if err != nil {
		return nil, err
	}
	defer d.close()
	apps, err := d.startNodes([]string{"paydesk", "binwatch", "sorthouse", "sorthouse"})
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	callers := map[string]string{}
	var backends []*backend
	for i, app := range apps {
		b := app.newBackend(app.node.service, fmt.Sprintf("i-%s-%d", app.node.service, i+1), 81, 40*time.Millisecond)
		b.onRun = func(r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			callers[r.Header.Get("Request-Id")] = r.Header.Get("Caller-Service")
		}
		b.open()
		backends = append(backends, b)
	}
	time.Sleep(2 * time.Second)

	// The machine of the last backend goes together with it. A machine of binwatch gets
	// the address.
	machine, app, old := d.nodes[3], apps[3], backends[3]
	late := old.reportBody()
	sentLate := time.Now()
	if trouble {
		rec.printf("heartbeat of backend %s is sent and delayed: %s", old.id, late)
		old.crash()
		machine.signal(syscall.SIGKILL)
		machine.awaitEnd(5 * time.Second)
		time.Sleep(reuseDelay + 500*time.Millisecond)
		machine.service = "binwatch"
		if err := machine.writeSettings(); err != nil {
			return nil, err
		}
		if err := machine.start(); err != nil {
			return nil, err
		}
		if err := awaitReady(10*time.Second, machine); err != nil {
			return nil, err
		}
	}
	ready := time.Now()
	if trouble {
		if err := deliverLate(rec, machine, old.id, late, sentLate); err != nil {
			return nil, err
		}
	}
	var sent []string
	began := false
	for time.Since(ready) < 4*time.Second {
		// The first heartbeat of the new backend comes heartbeatS after the node is ready.
		if trouble && !began && time.Since(ready) > heartbeat {
			began = true
			b := app.newBackend("binwatch", "i-binwatch-5", 81, 40*time.Millisecond)
			b.onRun = backends[0].onRun
			b.open()
		}
		o := call(rec, machine, http.MethodPost, "pay.example", "/a/p", "payout", 2*time.Second)
		sent = append(sent, o.id)
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	var breaks []string
	ran := 0
	for _, id := range sent {
		caller, known := callers[id]
		if known {
			ran++
		}
		if known && caller != machine.service {
			breaks = append(breaks, fmt.Sprintf("request %s, which began at %s of service %s, was run with Caller-Service %s", id, machine.name, machine.service, caller))
		}
	}
	if ran == 0 {
		return nil, fmt.Errorf("none of %d requests was run", len(sent))
	}
	rec.printf("%d requests sent at %s, %d run", len(sent), machine.name, ran)
	return breaks, nil
}

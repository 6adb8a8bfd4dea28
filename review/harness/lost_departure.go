package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestsail/goldcrestsail/platform/storetest"
)

// lostDeparture lets a backend leave while the store is silent. Its node acknowledges the
// DELETE. Then all nodes are killed at once and start again. The backend's last heartbeat
// from before the DELETE arrives late. Once all machines have been in touch for contactS,
// no request may reach the backend.
func lostDeparture(rec *record, trouble bool) ([]string, error) {
	const payoutHost = "pay.example"
	d, err := newDeployment(rec, configText(3, []string{"binwatch", "paydesk"},
		route{"payout", payoutHost, "unsafe", "paydesk", 5, 1.5, 0},
		route{"bin-level", "bin.example", "safe", "binwatch", 5, 1.2, 2}))
	if err != nil {
		return nil, err
	}
	defer d.close()
	apps, err := d.startNodes([]string{"binwatch", "paydesk", "paydesk", "paydesk"})
	if err != nil {
		return nil, err
	}
	var backends []*backend
	for i, app := range apps {
		b := app.startBackend(app.node.service, fmt.Sprintf("i-%s-%d", app.node.service, i), 81, 120*time.Millisecond)
		backends = append(backends, b)
	}
	// The node in the zone of the clients' node gets most of their payouts.
	entry, machine, leaving := d.nodes[0], d.nodes[2], backends[2]
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	arrivals := map[string]time.Time{}
	leaving.onRun = func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[r.Header.Get("Request-Id")] = time.Now()
	}
	load := startPayouts(rec, entry, payoutHost)
	time.Sleep(time.Second)
	if trouble {
		rec.printf("the store falls silent")
		d.store.SetFaults(storetest.Faults{NoResponse: true})
	}
	silentAt := time.Now()
	time.Sleep(time.Second)
	late := leaving.reportBody()
	rec.printf("heartbeat of backend %s is sent and delayed: %s", leaving.id, late)
	sentLate := time.Now()
	close(leaving.ended)
	if !leaving.leave() {
		return nil, fmt.Errorf("the DELETE was not acknowledged")
	}
	acknowledged := time.Now()
	if trouble {
		for _, n := range d.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range d.nodes {
			n.awaitEnd(5 * time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range d.nodes {
			if err := n.start(); err != nil {
				return nil, err
			}
		}
	}
	started := time.Now()
	time.Sleep(time.Until(silentAt.Add(4500 * time.Millisecond)))
	d.store.SetFaults(storetest.Faults{})
	rec.printf("the store answers again")
	stable := time.Now()
	if trouble {
		if err := deliverLate(rec, machine, leaving.id, late, sentLate); err != nil {
			return nil, err
		}
	}
	inTouch := stable.Add(contactTime)
	if started.After(stable) {
		inTouch = started.Add(contactTime)
	}
	time.Sleep(time.Until(acknowledged.Add(8500 * time.Millisecond)))
	rec.printf("backend %s exits", leaving.id)
	leaving.exit()
	time.Sleep(time.Second)
	outcomes := load.end()
	mu.Lock()
	defer mu.Unlock()
	return lateArrivals(rec, leaving, arrivals, outcomes, acknowledged, inTouch), nil
}

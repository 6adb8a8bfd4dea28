package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// reusedAddress lets the only backend of paydesk fall silent while payouts queue for it.
// After more than reuseDelayS its address goes to a backend of binwatch. No payout may
// run there.
func reusedAddress(rec *record, trouble bool) ([]string, error) {
	const payoutHost = "pay.example"
	services := []string{"binwatch", "paydesk", "routebook", "sorthouse"}
	d, err := newDeployment(rec, configText(3, services,
		route{"payout", payoutHost, "unsafe", "paydesk", 5, 1.5, 0},
		route{"bin-level", "bin.example", "safe", "binwatch", 5, 1.2, 2},
		route{"schedule", "schedule.example", "safe", "routebook", 2.5, 0.6, 2},
		route{"sort-result", "sort.example", "safe", "sorthouse", 0.6, 0.15, 1}))
	if err != nil {
		return nil, err
	}
	defer d.close()
	apps, err := d.startNodes([]string{"binwatch", "paydesk", "routebook", "sorthouse"})
	if err != nil {
		return nil, err
	}
	entry, paydesk := d.nodes[0], apps[1]
	slots := map[string]int{"binwatch": 81, "paydesk": 11, "routebook": 81, "sorthouse": 11}
	var old *backend
	for _, app := range apps {
		b := app.startBackend(app.node.service, "i-"+app.node.service+"-1", slots[app.node.service], 60*time.Millisecond)
		if app == paydesk {
			old = b
		}
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var foreignRuns []string
	answers := map[string]outcome{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	// Paydesk can serve about 180 payouts a second; the clients send 50.
	clients.Go(func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			clients.Go(func() {
				o := call(rec, entry, http.MethodPost, payoutHost, "/a/r", "payout", 5*time.Second)
				mu.Lock()
				defer mu.Unlock()
				answers[o.id] = o
			})
		}
	})
	time.Sleep(3 * time.Second)
	if trouble {
		old.fallSilent()
		time.Sleep(reuseDelay + 500*time.Millisecond)
		foreign := paydesk.newBackend("binwatch", "i-binwatch-2", slots["binwatch"], 60*time.Millisecond)
		foreign.onRun = func(r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if r.Host == payoutHost {
				foreignRuns = append(foreignRuns, r.Header.Get("Request-Id"))
			}
		}
		foreign.open()
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	var breaks []string
	for _, id := range foreignRuns {
		breaks = append(breaks, fmt.Sprintf("payout %s, which may go to paydesk only, was run by backend i-binwatch-2 of binwatch; its client got %d", id, answers[id].status))
	}
	served := 0
	for _, o := range answers {
		if o.status == http.StatusOK {
			served++
		}
	}
	rec.printf("%d payouts sent, %d answered 200, %d run by the foreign backend", len(answers), served, len(foreignRuns))
	if served == 0 {
		return nil, fmt.Errorf("none of %d payouts was served", len(answers))
	}
	return breaks, nil
}

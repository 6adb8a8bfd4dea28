package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// earlierIncarnation lets a backend crash, start again under its id, and leave. The node
// beside it acknowledges that, is killed and starts again. Then a heartbeat arrives late
// that the backend has sent before its crash. The backend may get no more requests.
func earlierIncarnation(rec *record, trouble bool) ([]string, error) {
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
	const slots, work = 81, 120 * time.Millisecond
	var backends []*backend
	for i, app := range apps {
		b := app.newBackend(app.node.service, fmt.Sprintf("i-%s-%d", app.node.service, i), slots, work)
		backends = append(backends, b)
	}
	// The node in the zone of the clients' node gets most of their payouts.
	entry, machine, first := d.nodes[0], d.nodes[2], backends[2]
	var mu sync.Mutex
	arrivals := map[string]time.Time{}
	onRun := func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[r.Header.Get("Request-Id")] = time.Now()
	}
	first.onRun = onRun
	for _, b := range backends {
		b.open()
	}
	time.Sleep(3 * time.Second)

	load := startPayouts(rec, entry, payoutHost)
	time.Sleep(time.Second)
	late := first.reportBody()
	sentLate := time.Now()
	leaving := first
	if trouble {
		rec.printf("heartbeat of backend %s is sent and delayed: %s", first.id, late)
		first.crash()
		time.Sleep(2 * time.Second)
		leaving = apps[2].newBackend("paydesk", first.id, slots, work)
		leaving.onRun = onRun
		leaving.open()
		time.Sleep(time.Second)
	}
	close(leaving.ended)
	if !leaving.leave() {
		return nil, fmt.Errorf("the DELETE was not acknowledged")
	}
	acknowledged := time.Now()
	inTouch := acknowledged
	if trouble {
		time.Sleep(100 * time.Millisecond)
		machine.signal(syscall.SIGKILL)
		machine.awaitEnd(5 * time.Second)
		time.Sleep(500 * time.Millisecond)
		if err := machine.start(); err != nil {
			return nil, err
		}
		inTouch = time.Now().Add(contactTime)
		if err := awaitReady(10*time.Second, machine); err != nil {
			return nil, err
		}
		time.Sleep(500 * time.Millisecond)
		if err := deliverLate(rec, machine, first.id, late, sentLate); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(6500 * time.Millisecond)))
	rec.printf("backend %s exits", leaving.id)
	leaving.exit()
	time.Sleep(time.Second)
	outcomes := load.end()
	mu.Lock()
	defer mu.Unlock()
	return lateArrivals(rec, leaving, arrivals, outcomes, acknowledged, inTouch), nil
}

// deliverLate delivers a heartbeat that was sent before.
func deliverLate(rec *record, n *node, id, body string, sent time.Time) error {
	client := http.Client{Timeout: time.Second}
	r, err := http.NewRequest(http.MethodPut, "http://"+n.control+"/goldcrestsail/instances/"+id, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	rec.printf("the heartbeat arrives at %s, %.1f s late: %s", n.name, time.Since(sent).Seconds(), response.Status)
	return response.Body.Close()
}

// payouts sends 50 payouts a second, each on a connection of its own.
type payouts struct {
	stop     chan struct{}
	clients  sync.WaitGroup
	mu       sync.Mutex
	outcomes map[string]outcome
}

func startPayouts(rec *record, entry *node, host string) *payouts {
	p := &payouts{stop: make(chan struct{}), outcomes: map[string]outcome{}}
	p.clients.Go(func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-p.stop:
				return
			case <-ticker.C:
			}
			p.clients.Go(func() {
				o := call(rec, entry, http.MethodPost, host, "/a/r", "payout", 5*time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				p.outcomes[o.id] = o
			})
		}
	})
	return p
}

// end waits for the last answers and returns all outcomes by request.
func (p *payouts) end() map[string]outcome {
	close(p.stop)
	p.clients.Wait()
	return p.outcomes
}

// lateArrivals returns the breaks of DRAIN: requests that clients sent later than drainS
// after the acknowledgement, at machines in touch, and that reached the backend.
func lateArrivals(rec *record, b *backend, arrivals map[string]time.Time, outcomes map[string]outcome, acknowledged, inTouch time.Time) (breaks []string) {
	lost := 0
	for id, at := range arrivals {
		o := outcomes[id]
		if o.sent.After(acknowledged.Add(drainTime)) && o.sent.After(inTouch) {
			breaks = append(breaks, fmt.Sprintf("payout %s reached backend %s %.1f s after its leaving was acknowledged; its client got %d", id, b.id, at.Sub(acknowledged).Seconds(), o.status))
			if o.status != http.StatusOK {
				lost++
			}
		}
	}
	text := fmt.Sprintf("%d payouts sent, %d reached the backend too late, %d of these had no success", len(outcomes), len(breaks), lost)
	rec.printf("%s", text)
	fmt.Println(text)
	return breaks
}

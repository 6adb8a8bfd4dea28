package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/link"
)

// configOfFollowers: twelve machines in one zone. The store turns four of them away, which
// get no response, and the operator moves a route to another service.
func configOfFollowers(p *play) (int, error) {
	const (
		// turnedAway is a third of the machines.
		turnedAway = 4
		awayFor    = 9 * time.Second
		publishAt  = 300 * time.Millisecond
		deadline   = 2 * time.Second
	)
	p.zones = 1
	links := map[string]*link.Link{}
	p.storeFor = func(name, address string) (string, error) {
		l, err := link.New(address)
		if err != nil {
			return "", err
		}
		links[name] = l
		return l.Address(), nil
	}
	var services []string
	for range 6 {
		services = append(services, "paydesk", "binwatch")
	}
	routes := []route{
		{host: "moved.example", timeout: 2 * time.Second, service: "paydesk", attempts: 2},
		{host: "status.example", timeout: 2 * time.Second, service: "binwatch", attempts: 2},
	}
	d, ctx, err := p.start(services, routes, backendConfig{slots: 20, queue: 10, work: 20 * time.Millisecond})
	if err != nil {
		return 0, err
	}
	defer func() {
		for _, l := range links {
			l.Close()
		}
	}()
	if err := d.awaitServing(ctx, "moved.example"); err != nil {
		return 0, err
	}
	d.runClients(ctx, 100*time.Millisecond, attempt{host: "moved.example", deadline: 2 * time.Second}, d.machines...)
	time.Sleep(5 * time.Second)

	// The machines that read the store are turned away.
	var away []*machine
	for _, m := range d.machines {
		if readsStore(ctx, m) && len(away) < turnedAway {
			away = append(away, m)
		}
	}
	if len(away) < turnedAway {
		return 0, fmt.Errorf("%d machines read the store, want %d", len(away), turnedAway)
	}
	isAway := map[string]bool{}
	for _, m := range away {
		isAway[m.name] = true
		if p.trouble {
			p.note("the store turns %s away from now on, without a response", m.name)
			links[m.name].SetImpairment(link.Impairment{DropForward: true, DropBackward: true})
		}
	}
	healed := time.AfterFunc(awayFor, func() {
		p.note("the store turns nobody away from now on")
		for _, l := range links {
			l.SetImpairment(link.Impairment{})
		}
	})
	defer healed.Stop()
	time.Sleep(publishAt)
	routes[0].service = "binwatch"
	d.store.Put("keyed.op", "config", configText(2, services, routes))
	acknowledged := time.Now()
	p.note("version 2 is acknowledged: moved.example goes to binwatch")
	time.Sleep(awayFor + 2*time.Second)
	d.cancel()
	d.clients.Wait()

	serviceOf := map[string]string{}
	for _, m := range d.machines {
		serviceOf[m.backend.current().name] = m.service
	}
	requests, arrivals := p.snapshot()
	breaches, last, machines := 0, time.Duration(0), map[string]bool{}
	for _, a := range arrivals {
		q := requests[a.id]
		after := q.sentAt.Sub(acknowledged)
		if q.host != "moved.example" || a.rejected || after <= deadline || isAway[q.entry] || serviceOf[a.backend] != "paydesk" {
			continue
		}
		breaches++
		last, machines[q.entry] = max(last, after), true
		p.note("breach: %s, sent to %s %.3f s after the acknowledgement of version 2, was run by paydesk", a.id, q.entry, after.Seconds())
	}
	p.note("%d requests that were sent to %d of the %d machines that the store serves later than configDeadlineS after the acknowledgement were run by the old service, the last one sent %.3f s after it",
		breaches, len(machines), len(d.machines)-len(away), last.Seconds())
	return breaches, nil
}

// readsStore reports whether the metrics of a node say that it reads the store.
func readsStore(ctx context.Context, m *machine) bool {
	text, err := fetch(ctx, "http://"+m.at(adminPort)+"/metrics")
	return err == nil && strings.Contains(text, "goldcrestsail_reads_store 1")
}

func fetch(ctx context.Context, url string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	return string(text), errors.Join(err, response.Body.Close())
}

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/link"
)

const (
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 1500 * time.Millisecond
	// awayFor is how long the store is away.
	awayFor = time.Second
	// watchFor is how long requests are sent after the return of the store.
	watchFor = 14 * time.Second
)

// staleAfterDrill lets the store be away for a moment and come back from a copy. What was
// asked of it before gets no answer any more. A version that it acknowledges afterwards
// moves a route to another service.
func staleAfterDrill(r *record, trouble bool) (int, error) {
	services := []string{"katalog", "arkiv"}
	before := []route{{host: "site.example", prefix: "/read/", service: "katalog", timeoutS: 2, maxAttempts: 2}}
	after := []route{{host: "site.example", prefix: "/read/", service: "arkiv", timeoutS: 2, maxAttempts: 2}}
	d, err := newDeployment(r, services, 3, before)
	if err != nil {
		return failed, err
	}
	defer d.stop()
	var links []*link.Link
	for _, m := range d.machines {
		l, err := link.New(d.store.Address())
		if err != nil {
			return failed, err
		}
		defer l.Close()
		links = append(links, l)
		m.settings.StoreAddress = l.Address()
		if err := m.writeSettings(); err != nil {
			return failed, err
		}
	}
	if err := d.start(); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	d.store.Put("keyed.op", "config", configText(2, services, append(before, route{host: "site.example", prefix: "/more/", service: "katalog", timeoutS: 2, maxAttempts: 2}), smallLimit))
	r.line("the store acknowledges version 2, which adds a route")
	time.Sleep(500 * time.Millisecond)
	earlier := d.store.Copy()
	time.Sleep(copyAge)
	if trouble {
		for _, l := range links {
			l.StallConnections()
			l.SetImpairment(link.Impairment{Refuse: true})
		}
		r.line("the store is away")
		time.Sleep(awayFor)
		d.store.Restore(earlier)
		for _, l := range links {
			l.SetImpairment(link.Impairment{})
		}
		r.line("the store is back, from a copy of %v before", copyAge)
	}
	returned := time.Now()
	time.Sleep(200 * time.Millisecond)
	d.store.Put("keyed.op", "config", configText(3, services, after, smallLimit))
	acknowledged := time.Now()
	r.line("the store acknowledges version 3, which moves /read/ from katalog to arkiv")
	bound := acknowledged.Add(configDeadline)
	if inTouch := returned.Add(contactTime); inTouch.After(bound) {
		bound = inTouch
	}
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var all sync.WaitGroup
	for _, m := range d.machines {
		all.Go(func() {
			for n := 0; time.Since(returned) < watchFor; n++ {
				at := time.Now()
				a := d.send(m, "GET", "site.example", fmt.Sprintf("/read/%s-%d", m.name, n), "", 2*time.Second)
				mu.Lock()
				sentAt[a.id] = at
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	all.Wait()
	late, last := 0, time.Time{}
	for _, x := range d.allRuns() {
		if m := d.machineOf(x); m.service == "katalog" && sentAt[x.id].After(bound) {
			late++
			if sentAt[x.id].After(last) {
				last = sentAt[x.id]
			}
		}
	}
	r.line("bound at %.3f; %d requests that were sent later were run by katalog, as only version 2 allows; the rule allows none", r.since(bound), late)
	if late > 0 {
		r.line("the last of them was sent %.3f s after the acknowledgement", last.Sub(acknowledged).Seconds())
		return broken, nil
	}
	return held, nil
}

// machineOf returns the machine of a run.
func (d *deployment) machineOf(x run) *machine {
	for _, m := range d.machines {
		if m.name == x.machine {
			return m
		}
	}
	return nil
}

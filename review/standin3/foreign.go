package main

import "time"

// twoServices starts three machines of each of two services with clients of both at all
// machines. serviceOf is the service of the route of each host.
func (p *play) twoServices() (d *deployment, serviceOf map[string]string, err error) {
	serviceOf = map[string]string{"payout.example": "paydesk", "bins.example": "binwatch"}
	d, ctx, err := p.start([]string{"paydesk", "paydesk", "paydesk", "binwatch", "binwatch", "binwatch"}, []route{
		{host: "payout.example", unsafe: true, timeout: 2 * time.Second, service: "paydesk", attempts: 2},
		{host: "bins.example", timeout: 2 * time.Second, service: "binwatch", attempts: 2},
	}, backendConfig{slots: 20, queue: 10, work: 50 * time.Millisecond})
	if err != nil {
		return nil, nil, err
	}
	if err := d.awaitServing(ctx, "bins.example"); err != nil {
		return nil, nil, err
	}
	d.runClients(ctx, 100*time.Millisecond, attempt{host: "payout.example", unsafe: true, deadline: 2 * time.Second}, d.machines...)
	d.runClients(ctx, 100*time.Millisecond, attempt{host: "bins.example", deadline: 2 * time.Second}, d.machines...)
	time.Sleep(5 * time.Second)
	return d, serviceOf, nil
}

// foreignHeartbeat: a node gets a heartbeat of another writer that lacks fields. It has the
// ID of the backend beside the node and names another service.
func foreignHeartbeat(p *play) (int, error) {
	d, serviceOf, err := p.twoServices()
	if err != nil {
		return 0, err
	}
	b := d.machines[0].backend
	if p.trouble {
		b.foreignHeartbeat(b.id, "binwatch", b.current().born, 1000)
	}
	time.Sleep(8 * time.Second)
	d.cancel()
	d.clients.Wait()

	services := map[string]string{}
	for _, m := range d.machines {
		services[m.backend.id+"#1"] = m.service
	}
	requests, arrivals := p.snapshot()
	breaches, answered := 0, 0
	for _, a := range arrivals {
		q := requests[a.id]
		if a.rejected || services[a.backend] == serviceOf[q.host] {
			continue
		}
		breaches++
		if q.status == 200 && q.sealed {
			answered++
		}
		p.note("breach: %s for %s, whose route leads to %s, was run by %s of %s; the client got status %d", a.id, q.host, serviceOf[q.host], a.backend, services[a.backend], q.status)
	}
	p.note("%d requests were run by a service to which no configuration sends them; %d clients got its answer as a success", breaches, answered)
	return breaches, nil
}

// foreignCaller: a node gets a heartbeat of another writer that lacks fields. It names
// another service and an ID that no backend has.
func foreignCaller(p *play) (int, error) {
	d, _, err := p.twoServices()
	if err != nil {
		return 0, err
	}
	b := d.machines[0].backend
	at := time.Now()
	if p.trouble {
		b.foreignHeartbeat("i-other", "binwatch", time.Now().UnixMilli(), 1)
	}
	time.Sleep(20 * time.Second)
	d.cancel()
	d.clients.Wait()

	services := map[string]string{}
	for _, m := range d.machines {
		services[m.name] = m.service
	}
	requests, arrivals := p.snapshot()
	breaches, own, last := 0, 0, time.Time{}
	for _, a := range arrivals {
		if a.backend == b.current().name && !a.rejected && a.at.After(at) {
			own, last = own+1, a.at
		}
		q := requests[a.id]
		if a.rejected || a.caller == services[q.entry] {
			continue
		}
		breaches++
		p.note("breach: %s, sent on machine %s of %s, was run by %s with Caller-Service %s", a.id, q.entry, services[q.entry], a.backend, a.caller)
	}
	p.note("%d requests were run with the Caller-Service of another service", breaches)
	p.note("after the heartbeat %d requests were run by %s, the last one %.1f s after it, in %.1f s", own, b.current().name, max(0, last.Sub(at).Seconds()), time.Since(at).Seconds())
	return breaches, nil
}

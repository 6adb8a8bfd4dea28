package main

import (
	"errors"
	"time"
)

// departureOfRestarted: a backend crashes and starts again under its ID. Its first
// heartbeat is late, and before it arrives the backend leaves: it sends DELETE, goes on
// serving for drainS and a little longer, and exits.
func departureOfRestarted(p *play) (int, error) {
	const (
		downTime  = 500 * time.Millisecond
		lateness  = 3 * time.Second
		leavesAt  = 500 * time.Millisecond
		servesFor = drainTime + 1200*time.Millisecond
	)
	services := []string{"paydesk", "paydesk", "paydesk", "paydesk", "paydesk", "paydesk", "paydesk"}
	d, ctx, err := p.start(services, []route{
		{host: "payout.example", unsafe: true, timeout: 3 * time.Second, service: "paydesk", attempts: 2},
		{host: "status.example", timeout: 3 * time.Second, service: "paydesk", attempts: 2},
	}, backendConfig{slots: 20, queue: 10, work: 300 * time.Millisecond})
	if err != nil {
		return 0, err
	}
	if err := d.awaitServing(ctx, "status.example"); err != nil {
		return 0, err
	}
	d.runClients(ctx, 150*time.Millisecond, attempt{host: "payout.example", unsafe: true, deadline: 4 * time.Second}, d.machines...)
	d.runClients(ctx, 150*time.Millisecond, attempt{host: "status.example", deadline: 4 * time.Second}, d.machines...)
	time.Sleep(6 * time.Second)

	b := d.machines[0].backend
	if p.trouble {
		b.crash()
		time.Sleep(downTime)
		if err := b.startWith(func(x *backendProcess) { x.lateness = func() time.Duration { return lateness } }); err != nil {
			return 0, err
		}
		time.Sleep(leavesAt)
	}
	x := b.current()
	acknowledged := x.leave()
	if acknowledged.IsZero() {
		return 0, errors.New("the departure was not acknowledged")
	}
	time.Sleep(servesFor)
	b.crash()
	time.Sleep(4 * time.Second)
	d.cancel()
	d.clients.Wait()

	requests, arrivals := p.snapshot()
	breaches, lost := 0, 0
	for _, a := range arrivals {
		q := requests[a.id]
		if a.backend != x.name || a.rejected || q.sentAt.Sub(acknowledged) <= drainTime {
			continue
		}
		breaches++
		p.note("breach: %s, unsafe %t, sent %.3f s after the acknowledgement, has reached %s", a.id, q.unsafe, q.sentAt.Sub(acknowledged).Seconds(), x.name)
		if a.cut && q.status != 200 {
			lost++
			p.note("lost: %s was at work at %s when it ended; the client got status %d %s", a.id, x.name, q.status, q.err)
		}
	}
	p.note("%d requests reached the backend that were sent later than drainS after the acknowledgement; %d of them were cut off when it ended", breaches, lost)
	return breaches, nil
}

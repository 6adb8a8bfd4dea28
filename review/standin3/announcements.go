package main

import "time"

// busyDeployment starts seven machines of one service with enough clients at each that
// all of them have requests at every backend.
func (p *play) busyDeployment(work, interval time.Duration) (*deployment, error) {
	d, ctx, err := p.start([]string{"paydesk", "paydesk", "paydesk", "paydesk", "paydesk", "paydesk", "paydesk"}, []route{
		{host: "payout.example", unsafe: true, timeout: 3 * time.Second, service: "paydesk", attempts: 2},
		{host: "status.example", timeout: 3 * time.Second, service: "paydesk", attempts: 2},
	}, backendConfig{slots: 40, queue: 10, work: work})
	if err != nil {
		return nil, err
	}
	if err := d.awaitServing(ctx, "status.example"); err != nil {
		return nil, err
	}
	d.runClients(ctx, interval, attempt{host: "payout.example", unsafe: true, deadline: 4 * time.Second}, d.machines...)
	d.runClients(ctx, interval, attempt{host: "status.example", deadline: 4 * time.Second}, d.machines...)
	time.Sleep(6 * time.Second)
	return d, nil
}

// restart crashes a backend, and starts it again under its ID with what prepare sets. The
// heartbeats that it sends at first are late.
func restart(b *backend, downTime, lateness time.Duration, prepare func(*backendProcess)) error {
	b.crash()
	time.Sleep(downTime)
	started := time.Now()
	return b.startWith(func(x *backendProcess) {
		x.lateness = func() time.Duration {
			if time.Since(started) > lateness {
				return 0
			}
			return lateness
		}
		if prepare != nil {
			prepare(x)
		}
	})
}

// leavingOfRestarted: a backend crashes and starts again under its ID. Its first
// heartbeats are late, and before they arrive it says in its answers that it leaves. Then
// the heartbeat arrives that it sent before.
func leavingOfRestarted(p *play) (int, error) {
	const (
		downTime = time.Second
		lateness = 4 * time.Second
		leavesAt = 500 * time.Millisecond
	)
	d, err := p.busyDeployment(300*time.Millisecond, 50*time.Millisecond)
	if err != nil {
		return 0, err
	}
	b := d.machines[0].backend
	if p.trouble {
		if err := restart(b, downTime, lateness, nil); err != nil {
			return 0, err
		}
		time.Sleep(leavesAt)
	}
	x := b.current()
	p.note("%s says from now on that it leaves", x.name)
	draining := "draining"
	x.state.Store(&draining)
	x.leaving.Store(true)
	time.Sleep(lateness + 2*time.Second)
	d.cancel()
	d.clients.Wait()

	requests, arrivals := p.snapshot()
	passedOn := map[string]time.Time{}
	for _, q := range requests {
		if at, known := passedOn[q.entry]; q.leaving && q.backend == x.name && (!known || q.answeredAt.Before(at)) {
			passedOn[q.entry] = q.answeredAt
		}
	}
	breaches := 0
	for _, a := range arrivals {
		q := requests[a.id]
		at, known := passedOn[q.entry]
		if a.backend != x.name || a.rejected || !known || q.sentAt.Sub(at) <= drainTime {
			continue
		}
		breaches++
		p.note("breach: %s, sent %.3f s after machine %s had passed on an answer with Server-Leaving, has reached %s", a.id, q.sentAt.Sub(at).Seconds(), q.entry, x.name)
	}
	p.note("%d machines have passed on an answer with Server-Leaving; %d requests that were sent there later than drainS after that reached the backend", len(passedOn), breaches)
	return breaches, nil
}

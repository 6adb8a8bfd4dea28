package main

import "time"

const (
	// crashHost is the host whose requests end the backend that runs them, crashRunTime how
	// long they run before.
	crashHost    = "report.example"
	crashRunTime = 50 * time.Millisecond
	// crashDownTime is how long a backend is away after that.
	crashDownTime = 2 * time.Second
)

// crashAfterAnswer: a request ends each backend that runs it, right after the backend has
// sent its whole answer. It comes again, with the same path, caller and body.
func crashAfterAnswer(p *play) (int, error) {
	const (
		rounds = 12
		every  = 4 * time.Second
		// late is how many retries may reach backends later than contactS after the third
		// crash.
		late = 3
	)
	d, ctx, err := p.start([]string{"routebook", "routebook", "routebook", "routebook", "routebook", "routebook"}, []route{
		{host: crashHost, timeout: 2 * time.Second, service: "routebook", attempts: 2},
		{host: "schedule.example", timeout: 2 * time.Second, service: "routebook", attempts: 2},
	}, backendConfig{slots: 20, queue: 10, work: 20 * time.Millisecond, crashes: p.trouble})
	if err != nil {
		return 0, err
	}
	if err := d.awaitServing(ctx, "schedule.example"); err != nil {
		return 0, err
	}
	d.runClients(ctx, 200*time.Millisecond, attempt{host: "schedule.example", deadline: 2 * time.Second}, d.machines...)
	time.Sleep(3 * time.Second)
	ids := map[string]bool{}
	for i := range rounds {
		q := d.send(ctx, d.machines[i%len(d.machines)], attempt{host: crashHost, deadline: 2 * time.Second, path: "/report/7"})
		ids[q.id] = true
		time.Sleep(every)
	}
	d.cancel()
	d.clients.Wait()

	requests, arrivals := p.snapshot()
	var third time.Time
	ends, reached := 0, map[string]bool{}
	for _, a := range arrivals {
		if !ids[a.id] || a.rejected {
			continue
		}
		if !third.IsZero() && requests[a.id].sentAt.Sub(third) > contactTime {
			reached[a.id] = true
			p.note("retry %s has reached %s", a.id, a.backend)
		}
		if a.ended {
			if ends++; ends == 3 {
				third = a.endedAt
			}
		}
	}
	p.note("%d ends of backends; %d retries reached backends later than contactS after the third, %d are allowed", ends, len(reached), late)
	if len(reached) > late {
		return len(reached), nil
	}
	return 0, nil
}

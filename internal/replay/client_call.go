package replay

import (
	"net/http"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// newClientCall runs a request from its first attempt to its end. The client
// repeats every failure, whatever the response advises.
func (w *world) newClientCall(r *request) {
	// Clients use the nodes of the entry service in turn.
	for range w.targets {
		w.nextEntry++
		r.entry = w.targets[w.nextEntry%len(w.targets)]
		if r.entry.alive() {
			break
		}
	}
	if r.op.IssuedKey {
		w.sys.issueKey(r, func() { w.try(r) })
		return
	}
	w.try(r)
}

func (w *world) try(r *request) {
	a := &attempt{request: r, number: r.attempts, deadline: w.now.Add(ms(w.head.Client.AttemptTimeoutMS))}
	if a.deadline.After(r.deadline) {
		a.deadline = r.deadline
	}
	r.attempts++
	w.ledger.attempts = append(w.ledger.attempts, a)
	over := false
	var cancel func()
	again := func() {
		over = true
		if r.attempts <= w.head.Client.Retries {
			w.after(ms(w.head.Client.BackoffMS), func() {
				if w.now.Before(r.deadline) {
					w.try(r)
				}
			})
		}
	}
	timeout := w.after(a.deadline.Sub(w.now), func() {
		over = true
		if cancel != nil {
			w.after(w.clientLatency(), cancel)
		}
		again()
	})
	w.after(w.clientLatency(), func() {
		cancel = w.sys.submit(a, r.entry, func(p reply) {
			w.after(w.clientLatency(), func() {
				a.notRun = p.run == kind.NotRun
				if over {
					return
				}
				timeout.stop()
				r.response = p
				// A lost response shows as a connection that is reset.
				if lost := w.fraction("lost response", r.id*16+uint64(a.number)) < w.lose; lost || p.status != http.StatusOK {
					again()
					return
				}
				over = true
				if p.body != r.body(r.op) {
					w.ledger.wrong++
					return
				}
				w.ledger.answered(r, w.now)
			})
		})
	})
}

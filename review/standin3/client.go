package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempt is what a client sends.
type attempt struct {
	host     string
	unsafe   bool
	deadline time.Duration
	// path is the path, one with the ID of the request if it is empty.
	path string
}

var requestNumber atomic.Int64

// send sends a request to the node of a machine on a new connection and returns it with
// its answer.
func (d *deployment) send(ctx context.Context, m *machine, a attempt) request {
	q := &request{id: fmt.Sprintf("q%06d", requestNumber.Add(1)), entry: m.name, host: a.host, unsafe: a.unsafe}
	method, body := http.MethodGet, ""
	if a.unsafe {
		method, body = http.MethodPost, "order "+q.id
	}
	ctx, cancel := context.WithTimeout(ctx, a.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.at(outboundPort)+cmp.Or(a.path, "/"+q.id), strings.NewReader(body))
	if err != nil {
		q.err = err.Error()
		return *q
	}
	r.Host, r.Close = a.host, true
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	d.play.addRequest(q)
	response, err := transport.RoundTrip(r)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	d.play.answer(q, func(q *request) {
		if err != nil {
			q.err = err.Error()
			return
		}
		h := response.Header
		q.status, q.sealed, q.backend = response.StatusCode, h.Get("Response-Seal") != "", h.Get(backendHeader)
		q.leaving = h.Get("Server-Leaving") == "1"
	})
	return *q
}

// runClients sends attempts of a kind at each machine that is ready, one every interval,
// until ctx ends.
func (d *deployment) runClients(ctx context.Context, interval time.Duration, a attempt, at ...*machine) {
	for i, m := range at {
		d.clients.Go(func() {
			// The machines take turns.
			time.Sleep(interval * time.Duration(i) / time.Duration(len(at)))
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				if m.ready.Load() {
					d.clients.Go(func() { d.send(ctx, m, a) })
				}
			}
		})
	}
}

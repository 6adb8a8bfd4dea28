package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// answer is what a client got.
type answer struct {
	id     string
	status int
	seal   string
	err    error
	body   string
}

// send sends one client attempt to a machine on a new connection.
func (d *deployment) send(m *machine, method, host, path, body string, deadline time.Duration) answer {
	return d.sendAndLeave(m, method, host, path, body, deadline, deadline)
}

// sendAndLeave is like send, but the client closes its connection after the given time.
func (d *deployment) sendAndLeave(m *machine, method, host, path, body string, deadline, patience time.Duration) answer {
	a := answer{id: fmt.Sprintf("q%06x", lastRequest.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	d.record.line("client sends %s %s %s to %s", a.id, method, path, m.name)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(r)
	if err != nil {
		a.err = err
		d.record.line("client gets no answer to %s: %v", a.id, err)
		return a
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a.status, a.seal, a.body, a.err = response.StatusCode, response.Header.Get("Response-Seal"), string(text), err
	d.record.line("client gets %d to %s (%s)", a.status, a.id, strings.TrimSpace(a.body))
	return a
}

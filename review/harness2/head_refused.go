package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// headRefused removes a route. Clients then send a HEAD request on it, and a GET request
// on a route that stays, on one connection.
func headRefused(r *record, trouble bool) (int, error) {
	services := []string{"pris"}
	stays := route{host: "pris.example", prefix: "/read/", service: "pris", timeoutS: 1.2, maxAttempts: 2}
	goes := route{host: "pris.example", prefix: "/old/", service: "pris", timeoutS: 1.2, maxAttempts: 2}
	d, err := newDeployment(r, services, 4, []route{stays, goes})
	if err != nil {
		return failed, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	if trouble {
		d.store.Put("keyed.op", "config", configText(2, services, []route{stays}, smallLimit))
		r.line("the store acknowledges version 2, without the route /old/")
	}
	time.Sleep(configDeadline + time.Second)
	wrong := 0
	for _, m := range d.machines {
		k, err := d.keep(m)
		if err != nil {
			return failed, err
		}
		for _, step := range []struct{ method, path string }{{"GET", "/read/a"}, {"HEAD", "/old/b"}, {"GET", "/read/c"}} {
			what, err := k.exchange(step.method, step.path)
			if err != nil {
				return failed, err
			}
			if what != "" {
				r.line("the client gets bytes that are no answer where the answer to %s %s is due: %q", step.method, step.path, what)
				wrong++
				break
			}
		}
		_ = k.nc.Close()
	}
	r.line("%d of %d connections carried bytes that are no answer; the rule allows none", wrong, len(d.machines))
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// exchange sends a request and reads its answer. It returns what stands where the status
// line of the answer is due, if that is none.
func (k *keptConn) exchange(method, path string) (noAnswer string, err error) {
	id := fmt.Sprintf("q%06x", lastRequest.Add(1))
	r := k.d.record
	r.line("client sends %s %s %s to %s", id, method, path, k.m.name)
	_ = k.nc.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(k.nc, "%s %s HTTP/1.1\r\nHost: pris.example\r\nRequest-Id: %s\r\nDeadline-Ms: 800\r\n\r\n", method, path, id); err != nil {
		return "", err
	}
	const statusLine = "HTTP/1.1 "
	begin, err := k.br.Peek(len(statusLine))
	if err != nil {
		return "", err
	}
	if string(begin) != statusLine {
		rest, _ := k.br.Peek(min(k.br.Buffered(), 120))
		return string(rest), nil
	}
	response, err := http.ReadResponse(k.br, &http.Request{Method: method})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	r.line("client gets %d to %s, Request-Id %s, %d bytes: %.60s", response.StatusCode, id, response.Header.Get("Request-Id"), len(body), strings.TrimSpace(string(body)))
	return "", nil
}

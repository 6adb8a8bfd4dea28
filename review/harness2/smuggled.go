package main

import (
	"fmt"
	"time"
)

// smuggled sends requests whose body is the text of another request. The length of the
// body stands in a field with a space before its colon.
func smuggled(r *record, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"order"}, 4, []route{
		{host: "order.example", prefix: "/read/", service: "order", timeoutS: 2, maxAttempts: 2},
		{host: "order.example", prefix: "/put/", service: "order", unsafe: true, timeoutS: 2, maxAttempts: 2},
	})
	if err != nil {
		return failed, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	field := "Content-Length"
	if trouble {
		field = "Content-Length "
	}
	sent := map[string]bool{}
	for i, m := range d.machines {
		k, err := d.keep(m)
		if err != nil {
			return failed, err
		}
		id, inner := fmt.Sprintf("q%06x", lastRequest.Add(1)), fmt.Sprintf("inner-%d", i+1)
		body := fmt.Sprintf("POST /put/inner HTTP/1.1\r\nHost: order.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", inner)
		sent[id] = true
		r.line("client sends one request, %s POST /put/note, to %s; its body of %d bytes is the text of a request with the id %s", id, m.name, len(body), inner)
		_ = k.nc.SetDeadline(time.Now().Add(time.Second))
		if _, err := fmt.Fprintf(k.nc, "POST /put/note HTTP/1.1\r\nHost: order.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n%s: %d\r\n\r\n%s", id, field, len(body), body); err != nil {
			return failed, err
		}
		buffer := make([]byte, 4096)
		n, err := k.br.Read(buffer)
		r.line("client reads %d bytes: %.60q, %v", n, buffer[:n], err)
		time.Sleep(300 * time.Millisecond)
		_ = k.nc.Close()
	}
	time.Sleep(time.Second)
	wrong := 0
	for _, x := range d.allRuns() {
		if !sent[x.id] {
			wrong++
			r.line("backend %s has run %s %s, which no client sent", x.backend, x.id, x.path)
		}
	}
	r.line("%d requests that no client sent were run; the rule allows none", wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

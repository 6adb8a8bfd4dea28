package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	keptPerMachine = 5
	smallLimit     = 1 << 20
	raisedLimit    = 4 << 20
	// longBody lies between the two limits.
	longBody = 3 << 19
	// configDeadline is the bound configDeadlineS.
	configDeadline = 2 * time.Second
)

// keptConn is a connection of a client that it uses for several requests.
type keptConn struct {
	d  *deployment
	m  *machine
	nc net.Conn
	br *bufio.Reader
}

func (d *deployment) keep(m *machine) (*keptConn, error) {
	nc, err := net.Dial("tcp", m.settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	return &keptConn{d, m, nc, bufio.NewReader(nc)}, nil
}

// post sends a request with a body of the given length and returns the answer.
func (k *keptConn) post(path string, length int, what string) answer {
	a := answer{id: fmt.Sprintf("q%06x", lastRequest.Add(1))}
	_ = k.nc.SetDeadline(time.Now().Add(6 * time.Second))
	k.d.record.line("client sends %s POST %s with %d bytes to %s on %s", a.id, path, length, k.m.name, what)
	go func() {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: order.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", path, a.id, length)
		_, _ = io.WriteString(k.nc, head+strings.Repeat("b", length))
	}()
	response, err := http.ReadResponse(k.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		k.d.record.line("client gets no answer to %s: %v", a.id, err)
		return a
	}
	body, err := io.ReadAll(response.Body)
	a.status, a.seal, a.body, a.err = response.StatusCode, response.Header.Get("Response-Seal"), string(body), err
	k.d.record.line("client gets %d to %s", a.status, a.id)
	return a
}

// limitsRaised raises maxBodyBytes. Requests that only the new version allows are then
// sent on connections that have been kept since before.
func limitsRaised(r *record, trouble bool) (int, error) {
	services, routes := []string{"order"}, []route{{host: "order.example", prefix: "/put/", service: "order", unsafe: true, timeoutS: 5, maxAttempts: 2}}
	first := smallLimit
	if !trouble {
		first = raisedLimit
	}
	d, err := newDeploymentWithLimit(r, services, 4, routes, first)
	if err != nil {
		return failed, err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	requests := 0
	var kept []*keptConn
	for _, m := range d.machines {
		for range keptPerMachine {
			k, err := d.keep(m)
			if err != nil {
				return failed, err
			}
			defer k.nc.Close()
			requests++
			if a := k.post("/put/small", 100, "a connection that it keeps"); a.status != http.StatusOK {
				return failed, fmt.Errorf("the first request on a connection got %d", a.status)
			}
			kept = append(kept, k)
		}
	}
	if trouble {
		d.store.Put("keyed.op", "config", configText(2, services, routes, raisedLimit))
		r.line("the store acknowledges version 2 with maxBodyBytes %d instead of %d", raisedLimit, first)
	}
	time.Sleep(configDeadline + 1500*time.Millisecond)
	for _, m := range d.machines {
		k, err := d.keep(m)
		if err != nil {
			return failed, err
		}
		requests++
		a := k.post("/put/long", longBody, "a new connection")
		_ = k.nc.Close()
		if a.status != http.StatusOK {
			return failed, fmt.Errorf("a new connection to %s got %d", m.name, a.status)
		}
	}
	denied := 0
	for _, k := range kept {
		requests++
		if a := k.post("/put/long", longBody, "its kept connection"); a.status >= 400 && a.status < 500 && a.seal == "" {
			denied++
		}
	}
	allowed := 5 + requests/500
	r.line("%d of %d requests, proper under the version in force, were ended with a 4xx of the system more than %v after its acknowledgement; the rule allows %d",
		denied, requests, configDeadline, allowed)
	if denied > allowed {
		return broken, nil
	}
	return held, nil
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// outcome is what a client has got for one request. status is 0 without an answer.
type outcome struct {
	id, body   string
	status     int
	header     http.Header
	err        error
	sent, done time.Time
}

// call sends one request on a connection of its own and waits for its answer until the
// deadline.
func call(rec *record, n *node, method, host, path, body string, deadline time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("q%d", lastRequest.Add(1)), sent: time.Now()}
	defer func() {
		o.done = time.Now()
	}()
	rec.printf("client sends %s to %s: %s %s host %s", o.id, n.name, method, path, host)
	nc, err := net.DialTimeout("tcp", n.caller, time.Second)
	if err != nil {
		o.err = err
		rec.printf("client cannot connect for %s: %v", o.id, err)
		return o
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(deadline + 100*time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %s\r\n", method, path, host, o.id, strconv.FormatInt(deadline.Milliseconds(), 10))
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, o.err = io.WriteString(nc, b.String()); o.err != nil {
		rec.printf("client cannot send %s: %v", o.id, o.err)
		return o
	}
	response, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: method})
	if err != nil {
		o.err = err
		rec.printf("client gets no answer to %s: %v", o.id, err)
		return o
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		o.err = err
		rec.printf("client gets no whole answer to %s: %v", o.id, err)
		return o
	}
	o.status, o.header, o.body = response.StatusCode, response.Header, string(text)
	rec.printf("client gets %d for %s, seal %q, Retry-After %q, id %q: %.100q", o.status, o.id, o.header.Get("Response-Seal"), o.header.Get("Retry-After"), o.header.Get("Request-Id"), o.body)
	return o
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// strayLine is a line of a log that a spoiled answer has among its header fields.
const strayLine = "2026-12-05 11:22:05 WARN slow query: 412 ms\r\n"

// spoiledHead lets one of four backends spoil one in twenty of its answers: a line that is
// no header field stands in the head. What clients get has to be HTTP.
func spoiledHead(rec *record, trouble bool) ([]string, error) {
	const host = "bin.example"
	d, err := newDeployment(rec, configText(3, []string{"binwatch", "paydesk"},
		route{"payout", "pay.example", "unsafe", "paydesk", 5, 1.5, 0},
		route{"bin-level", host, "safe", "binwatch", 5, 1.2, 2}))
	if err != nil {
		return nil, err
	}
	defer d.close()
	apps, err := d.startNodes([]string{"binwatch", "binwatch", "paydesk", "paydesk"})
	if err != nil {
		return nil, err
	}
	var spoiled atomic.Int64
	for i, app := range apps {
		b := app.newBackend(app.node.service, fmt.Sprintf("i-%s-%d", app.node.service, i), 81, 20*time.Millisecond)
		if i == 0 {
			var answers atomic.Int64
			b.answer = func(w io.Writer, r *http.Request) {
				id, stray := r.Header.Get("Request-Id"), ""
				if trouble && answers.Add(1)%20 == 0 {
					spoiled.Add(1)
					stray = strayLine
					rec.printf("backend %s spoils its answer to %s", b.id, id)
				}
				text := "level 17 of " + id
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s", id, b.id, id, stray, len(text), text)
			}
		}
		b.open()
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var breaks []string
	served := 0
	var clients sync.WaitGroup
	for range 10 {
		clients.Go(func() {
			for range 100 {
				id := fmt.Sprintf("q%d", lastRequest.Add(1))
				status, fault, err := readStrictly(rec, d.nodes[0], id, host)
				mu.Lock()
				switch {
				case err != nil:
					rec.printf("client gets no answer to %s: %v", id, err)
				case fault != "":
					breaks = append(breaks, fmt.Sprintf("the answer to %s, status %d, is no HTTP: %s", id, status, fault))
				case status == http.StatusOK:
					served++
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	rec.printf("%d sound answers, %d answers spoiled by the backend, %d of them passed on", served, spoiled.Load(), len(breaks))
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return breaks, nil
}

// readStrictly sends a request and reads the head of the answer by RFC 9112. fault tells
// what in it is no HTTP, "" if nothing is.
func readStrictly(rec *record, n *node, id, host string) (status int, fault string, err error) {
	rec.printf("client sends %s to %s: GET /a/17 host %s", id, n.name, host)
	nc, err := net.DialTimeout("tcp", n.caller, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(nc, "GET /a/17 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", host, id); err != nil {
		return 0, "", err
	}
	lines := textproto.NewReader(bufio.NewReader(nc))
	first, err := lines.ReadLine()
	if err != nil {
		return 0, "", err
	}
	parts := strings.SplitN(first, " ", 3)
	if len(parts) < 2 || parts[0] != "HTTP/1.1" {
		return 0, fmt.Sprintf("status line %q", first), nil
	}
	if status, err = strconv.Atoi(parts[1]); err != nil {
		return 0, fmt.Sprintf("status line %q", first), nil
	}
	for {
		line, err := lines.ReadLine()
		if err != nil {
			return status, "", err
		}
		if line == "" {
			rec.printf("client gets %d for %s: %s", status, id, fault)
			return status, fault, nil
		}
		name, _, found := strings.Cut(line, ":")
		if !found || name == "" || strings.Trim(name, tokenCharacters) != "" {
			fault = fmt.Sprintf("line %q of its head is no header field: the name is no token (RFC 9110, 5.1)", line)
		}
	}
}

// tokenCharacters are those that a field name consists of (RFC 9110, 5.6.2).
const tokenCharacters = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

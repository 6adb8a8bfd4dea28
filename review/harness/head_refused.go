package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// headRefused lets the only backend of a service crash for some seconds. Meanwhile a
// client sends, on kept connections, a HEAD request for that service and, before it is
// answered, a GET request for another one. Both have to get their own answers.
func headRefused(rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(rec, configText(3, []string{"binwatch", "paydesk", "routebook", "sorthouse"},
		route{"payout", "pay.example", "unsafe", "paydesk", 5, 1.5, 0},
		route{"bin-level", "bin.example", "safe", "binwatch", 5, 1.2, 2},
		route{"schedule", "schedule.example", "safe", "routebook", 2.5, 0.6, 2},
		route{"sort-result", "sort.example", "safe", "sorthouse", 0.6, 0.15, 1}))
	if err != nil {
		return nil, err
	}
	defer d.close()
	apps, err := d.startNodes([]string{"binwatch", "paydesk", "routebook", "sorthouse"})
	if err != nil {
		return nil, err
	}
	var crashing *backend
	for _, app := range apps {
		b := app.newBackend(app.node.service, "i-"+app.node.service+"-1", 81, 20*time.Millisecond)
		if app.node.service == "routebook" {
			crashing = b
			b.answer = func(w io.Writer, r *http.Request) { answerHead(w, r, b) }
		}
		b.open()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		crashing.crash()
	}
	var breaks []string
	served := 0
	for range 20 {
		fault, answers, err := pipelineHead(rec, d.nodes[0])
		if err != nil {
			return nil, err
		}
		served += answers
		if fault != "" {
			breaks = append(breaks, fault)
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.printf("%d of 40 requests answered, %d connections spoiled", served, len(breaks))
	return breaks, nil
}

// answerHead answers a HEAD request without a body.
func answerHead(w io.Writer, r *http.Request, b *backend) {
	id := r.Header.Get("Request-Id")
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Length: 20\r\n\r\n", id, b.id, id)
}

// pipelineHead sends HEAD and GET on one connection and reads both answers. fault tells
// what the client gets in place of an answer, "" if it gets two.
func pipelineHead(rec *record, n *node) (fault string, answers int, err error) {
	nc, err := net.DialTimeout("tcp", n.caller, time.Second)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	head, get := fmt.Sprintf("q%d", lastRequest.Add(1)), fmt.Sprintf("q%d", lastRequest.Add(1))
	rec.printf("client sends %s (HEAD, schedule.example) and %s (GET, bin.example) to %s", head, get, n.name)
	if _, err := fmt.Fprintf(nc, "HEAD /a/7 HTTP/1.1\r\nHost: schedule.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\n\r\n"+
		"GET /a/17 HTTP/1.1\r\nHost: bin.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", head, get); err != nil {
		return "", 0, err
	}
	br := bufio.NewReader(nc)
	first, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead})
	if err != nil {
		return "", 0, err
	}
	rec.printf("client gets %d for %s, Content-Length %d", first.StatusCode, head, first.ContentLength)
	next, err := br.Peek(5)
	if err != nil {
		return "", 1, err
	}
	if string(next) != "HTTP/" {
		garbage, _ := br.Peek(br.Buffered())
		rec.printf("client gets in place of the answer to %s: %q", get, garbage)
		return fmt.Sprintf("after the %d for %s (HEAD) the client gets %.60q in place of an answer to %s", first.StatusCode, head, garbage, get), 1, nil
	}
	second, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
	if err != nil {
		return "", 1, err
	}
	rec.printf("client gets %d for %s, id %s", second.StatusCode, get, second.Header.Get("Request-Id"))
	return "", 2, nil
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// appAddress is the address beside a node. At any time one backend has it; a connection
// belongs to the backend that had the address when it was opened.
type appAddress struct {
	node     *node
	rec      *record
	listener net.Listener

	mu      sync.Mutex
	current *backend
}

// backend is one incarnation of a backend.
type backend struct {
	at      *appAddress
	service string
	id      string
	born    int64
	slots   int
	// work returns how long the run of a request takes.
	work func(r *http.Request) time.Duration
	// answer writes the answer of a run; nil writes answerOK.
	answer func(w io.Writer, r *http.Request)
	// onRun is called when a run begins; it may be nil.
	onRun func(r *http.Request)
	// extraHeader is sent in each answer, each line with its end.
	extraHeader atomic.Pointer[string]

	running atomic.Int64
	// silent reports that the backend neither answers nor reports any more, and that
	// its connections stay open.
	silent atomic.Bool
	ended  chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	seq   int
	state string
}

func newAppAddress(n *node) (*appAddress, error) {
	l, err := listen(n.app)
	if err != nil {
		return nil, err
	}
	a := &appAddress{node: n, rec: n.d.rec, listener: l}
	go a.accept()
	return a, nil
}

// startNodes starts a node for each service, in two zones by turns, and waits until all
// are ready.
func (d *deployment) startNodes(services []string) ([]*appAddress, error) {
	var apps []*appAddress
	for i, service := range services {
		n, err := d.addNode(service, []string{"lahore", "multan"}[i%2])
		if err != nil {
			return nil, err
		}
		app, err := newAppAddress(n)
		if err != nil {
			return nil, err
		}
		apps = append(apps, app)
	}
	for _, n := range d.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return apps, awaitReady(10*time.Second, d.nodes...)
}

func (a *appAddress) accept() {
	for {
		nc, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		b := a.current
		a.mu.Unlock()
		if b == nil {
			_ = nc.(*net.TCPConn).SetLinger(0)
			_ = nc.Close()
			continue
		}
		b.mu.Lock()
		b.conns[nc] = struct{}{}
		b.mu.Unlock()
		go b.serve(nc)
	}
}

// startBackend gives the address to a new backend, which reports from now on.
func (a *appAddress) startBackend(service, id string, slots int, work time.Duration) *backend {
	b := a.newBackend(service, id, slots, work)
	b.open()
	return b
}

// newBackend returns a backend that does not have the address yet.
func (a *appAddress) newBackend(service, id string, slots int, work time.Duration) *backend {
	return &backend{at: a, service: service, id: id, slots: slots, state: "ready",
		work: func(*http.Request) time.Duration { return work }, ended: make(chan struct{}), conns: map[net.Conn]struct{}{}}
}

// open gives the address to the backend and starts its heartbeats.
func (b *backend) open() {
	b.born = time.Now().UnixMilli()
	b.at.mu.Lock()
	b.at.current = b
	b.at.mu.Unlock()
	b.at.rec.printf("backend %s of %s starts at %s", b.id, b.service, b.at.node.app)
	go func() {
		for {
			b.report()
			select {
			case <-b.ended:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

// fallSilent makes the backend stop answering and reporting for good.
func (b *backend) fallSilent() {
	b.at.rec.printf("backend %s falls silent", b.id)
	b.silent.Store(true)
	close(b.ended)
}

// crash ends the backend at once: its connections are reset.
func (b *backend) crash() {
	b.at.rec.printf("backend %s crashes", b.id)
	close(b.ended)
	b.exit()
}

// exit ends the backend, which has left or crashed: its connections are reset.
func (b *backend) exit() {
	b.at.mu.Lock()
	if b.at.current == b {
		b.at.current = nil
	}
	b.at.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	for nc := range b.conns {
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}
}

// reportBody returns the body of the next heartbeat.
func (b *backend) reportBody() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"coldLeftS":0}}`,
		b.at.node.app, b.born, b.service, b.at.node.zone, b.slots, b.state, b.seq)
}

// report sends a heartbeat and reports whether it was acknowledged.
func (b *backend) report() bool { return b.send(http.MethodPut, b.reportBody()) }

// leave sends the DELETE and reports whether it was acknowledged.
func (b *backend) leave() bool { return b.send(http.MethodDelete, fmt.Sprintf(`{"born":%d}`, b.born)) }

func (b *backend) send(method, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.at.node.control+"/goldcrestsail/instances/"+b.id, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	acknowledged := err == nil && response.StatusCode/100 == 2
	if err == nil {
		_ = response.Body.Close()
	}
	b.at.rec.printf("%s of backend %s to %s: acknowledged %v; %s", method, b.id, b.at.node.name, acknowledged, body)
	return acknowledged
}

// serve serves one request after the other on a connection.
func (b *backend) serve(nc net.Conn) {
	defer func() {
		if !b.silent.Load() {
			_ = nc.Close()
		}
		b.mu.Lock()
		delete(b.conns, nc)
		b.mu.Unlock()
	}()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if b.silent.Load() {
			<-make(chan struct{})
		}
		if !b.respond(nc, r, body) {
			return
		}
	}
}

func (b *backend) respond(nc net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Request-Id")
	head := func(status string) string {
		extra := ""
		if p := b.extraHeader.Load(); p != nil {
			extra = *p
		}
		return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nServer-Load: %d,0,%d\r\n%s", status, id, b.id, b.running.Load(), b.slots, extra)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != b.id {
		b.at.rec.printf("backend %s answers 421 to %s, which expects %s", b.id, id, expected)
		_, err := io.WriteString(nc, head("421 Misdirected Request")+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if b.running.Add(1) > int64(b.slots) {
		b.running.Add(-1)
		_, err := io.WriteString(nc, head("503 Service Unavailable")+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	defer b.running.Add(-1)
	b.at.rec.printf("backend %s of %s runs %s: %s %s host %s, from %s", b.id, b.service, id, r.Method, r.RequestURI, r.Host, r.Header.Get("Caller-Service"))
	if b.onRun != nil {
		b.onRun(r)
	}
	time.Sleep(b.work(r))
	if b.silent.Load() {
		<-make(chan struct{})
	}
	if b.answer != nil {
		b.answer(nc, r)
		return true
	}
	text := fmt.Sprintf("answer of %s of %s to %s, %d bytes", b.id, b.service, id, len(body))
	_, err := io.WriteString(nc, head("200 OK")+fmt.Sprintf("Response-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", b.id, id, len(text), text))
	return err == nil
}

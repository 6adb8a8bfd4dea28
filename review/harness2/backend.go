package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots = 20
	// crashPrefix begins the paths of requests that crash each backend that runs them.
	crashPrefix = "/read/crash"
	// crashDelay is how long such a request is at work before the backend crashes, if
	// the case sets no other time.
	crashDelay = 50 * time.Millisecond
	// downTime is when a crashed backend is back.
	downTime = 2 * time.Second
)

// run is one run of a request at a backend.
type run struct {
	id, path, caller, machine, backend string
	at                                 time.Time
}

// backend is the server beside a node.
type backend struct {
	m *machine

	mu       sync.Mutex
	server   *http.Server
	id       string
	born     int64
	seq      int
	starts   int
	acked    bool
	stopping bool
	ended    chan struct{}
	runs     []run
	crashes  []time.Time
	// limit is what Server-Limit names, "" if nothing.
	limit string
	// harmlessFrom names the service whose requests crash no backend.
	harmlessFrom string
	// errorPage makes a crashing backend send an error page before it ends.
	errorPage bool
	// crashAfter replaces crashDelay if it is positive.
	crashAfter time.Duration
}

// start starts an incarnation with a new id at the address of the settings.
func (b *backend) start() error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", b.m.settings.TargetAddress); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.starts++
	b.id, b.born, b.seq, b.acked = fmt.Sprintf("i-%s-%d", b.m.name, b.starts), time.Now().UnixMilli(), 0, false
	id, ended := b.id, make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, id) })}
	b.server, b.ended = server, ended
	b.mu.Unlock()
	b.m.d.record.line("backend %s started", id)
	go func() { _ = server.Serve(l) }()
	go b.reportUntil(ended)
	return nil
}

// crash ends the incarnation without notice and starts the next one after downTime.
func (b *backend) crash(id, why string) {
	b.mu.Lock()
	if b.id != id || b.server == nil {
		b.mu.Unlock()
		return
	}
	server, ended := b.server, b.ended
	b.server = nil
	b.crashes = append(b.crashes, time.Now())
	b.mu.Unlock()
	close(ended)
	_ = server.Close()
	b.m.d.record.line("backend %s crashed, running %s", id, why)
	time.AfterFunc(downTime, func() {
		b.mu.Lock()
		stopping := b.stopping
		b.mu.Unlock()
		if !stopping {
			_ = b.start()
		}
	})
}

func (b *backend) stop() {
	b.mu.Lock()
	server := b.server
	b.stopping, b.server = true, nil
	if server != nil {
		close(b.ended)
	}
	b.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// accepted reports whether the node has acknowledged a report of this incarnation.
func (b *backend) accepted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acked
}

func (b *backend) reportUntil(ended chan struct{}) {
	for {
		b.report()
		select {
		case <-ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// report sends one heartbeat to the node beside the backend.
func (b *backend) report() {
	b.mu.Lock()
	b.seq++
	id := b.id
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"coldLeftS":0}}`,
		b.m.settings.TargetAddress, b.born, b.m.service, b.m.settings.FailureDomain, slots, b.seq)
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.m.settings.ReportAddress+"/goldcrestsail/instances/"+id, strings.NewReader(body))
	if err != nil {
		return
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if response.StatusCode == http.StatusOK && b.id == id {
		b.acked = true
	}
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request, id string) {
	request := r.Header.Get("Request-Id")
	w.Header().Set("Instance-Id", id)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set("Request-Id", request)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	b.runs = append(b.runs, run{request, r.URL.RequestURI(), r.Header.Get("Caller-Service"), b.m.name, id, time.Now()})
	limit := b.limit
	b.mu.Unlock()
	b.m.d.record.line("backend %s runs %s %s of %s", id, request, r.URL.RequestURI(), r.Header.Get("Caller-Service"))
	if strings.HasPrefix(r.URL.Path, crashPrefix) && (b.harmlessFrom == "" || r.Header.Get("Caller-Service") != b.harmlessFrom) {
		time.Sleep(cmp.Or(b.crashAfter, crashDelay))
		if b.errorPage {
			if nc, _, err := w.(http.Hijacker).Hijack(); err == nil {
				defer nc.Close()
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", request)
			}
			b.crash(id, request)
			return
		}
		b.crash(id, request)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	work := 20 * time.Millisecond
	if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	body := id + " " + r.URL.RequestURI()
	w.Header().Set("Response-Seal", "seal."+request)
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// allRuns returns the runs of all backends.
func (d *deployment) allRuns() (all []run) {
	for _, m := range d.machines {
		m.backend.mu.Lock()
		all = append(all, m.backend.runs...)
		m.backend.mu.Unlock()
	}
	return all
}

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath = "/health"
	// backendHeader names the process in its answers, for the record.
	backendHeader = "X-Backend-Process"
)

// backendConfig says how backends behave.
type backendConfig struct {
	slots, queue int
	work         time.Duration
	// refuseShare is the share of the requests that a backend refuses, from refuseFrom after
	// its start for refuseFor.
	refuseShare           float64
	refuseFrom, refuseFor time.Duration
	// crashes reports that requests for crashHost end the process that runs them.
	crashes bool
}

// backend is the stand-in for the backend of a machine. Its processes follow one another.
type backend struct {
	play    *play
	machine *machine
	config  backendConfig
	id      string

	mu      sync.Mutex
	process *backendProcess
	started int
}

// backendProcess is one start of a backend.
type backendProcess struct {
	backend *backend
	id      string
	name    string
	born    int64
	server  *http.Server
	ended   chan struct{}
	seq     atomic.Int64
	running atomic.Int64
	// state is what heartbeats say.
	state atomic.Pointer[string]
	// silent ends the heartbeats.
	silent atomic.Bool
	// leaving reports that the answers say that it leaves.
	leaving atomic.Bool
	// lateness is by how much a heartbeat is late that is sent now.
	lateness func() time.Duration
}

func newBackend(p *play, m *machine, c backendConfig) *backend {
	return &backend{play: p, machine: m, config: c, id: "i-" + m.name}
}

// start starts a process whose heartbeats arrive in time.
func (b *backend) start() error { return b.startWith(nil) }

// startWith starts a process; prepare, if not nil, sets what it says before it is reached.
func (b *backend) startWith(prepare func(*backendProcess)) error {
	listener, err := net.Listen("tcp", b.machine.at(backendPort))
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.started++
	x := &backendProcess{backend: b, id: b.id, name: fmt.Sprintf("%s#%d", b.id, b.started), born: time.Now().UnixMilli(), ended: make(chan struct{})}
	x.lateness = func() time.Duration { return 0 }
	ready := "ready"
	x.state.Store(&ready)
	if prepare != nil {
		prepare(x)
	}
	x.server = &http.Server{Handler: http.HandlerFunc(x.serve)}
	b.process = x
	b.mu.Unlock()
	b.play.note("%s starts, id %s, born %d", x.name, x.id, x.born)
	go func() { _ = x.server.Serve(listener) }()
	go x.sendHeartbeats()
	return nil
}

func (b *backend) current() *backendProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process
}

// crash ends the process at once. It sends nothing.
func (b *backend) crash() {
	b.mu.Lock()
	x := b.process
	b.process = nil
	b.mu.Unlock()
	if x != nil {
		close(x.ended)
		_ = x.server.Close()
		b.play.note("%s ends", x.name)
	}
}

// sendHeartbeats sends a heartbeat at once and then once per interval.
func (x *backendProcess) sendHeartbeats() {
	for !x.silent.Load() {
		seq, state, late := x.seq.Add(1), *x.state.Load(), x.lateness()
		text := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"coldLeftS":0}}`,
			x.backend.machine.at(backendPort), x.born, x.backend.machine.service, x.backend.machine.settings.FailureDomain, x.backend.config.slots, state, seq)
		go func() {
			if late > 0 {
				x.backend.play.note("%s sends heartbeat %d (%s), which arrives %v late", x.name, seq, state, late)
				time.Sleep(late)
			}
			x.call(http.MethodPut, text, fmt.Sprintf("heartbeat %d (%s)", seq, state))
		}()
		select {
		case <-x.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// foreignHeartbeat sends a heartbeat of another writer to a node: it lacks the version, the
// zone and coldLeftS.
func (b *backend) foreignHeartbeat(id, service string, born, seq int64) {
	text := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"slots":%d},"status":{"state":"ready","seq":%d}}`,
		b.machine.at(backendPort), born, service, b.config.slots, seq)
	b.play.note("a heartbeat of another writer for %s on machine %s: %s", id, b.machine.name, text)
	b.put(http.MethodPut, id, text, "heartbeat of another writer")
}

// call sends a call about the backend to its node and returns when it was acknowledged,
// zero if it was not.
func (x *backendProcess) call(method, body, what string) time.Time {
	return x.backend.put(method, x.id, body, x.name+": "+what)
}

// put sends a call about the backend with an ID to the node of the machine and returns when
// it was acknowledged, zero if it was not.
func (b *backend) put(method, id, body, what string) time.Time {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.machine.at(controlPort)+"/goldcrestsail/instances/"+id, strings.NewReader(body))
	if err != nil {
		return time.Time{}
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		b.play.note("%s not acknowledged", what)
		return time.Time{}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	at := time.Now()
	b.play.note("%s answered with %d", what, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return time.Time{}
	}
	return at
}

// leave sends the DELETE of a backend that leaves, repeatedly until it is acknowledged, and
// returns when it was. No heartbeat follows. With BORN=0 the DELETE has no body.
func (x *backendProcess) leave() time.Time {
	x.silent.Store(true)
	body := fmt.Sprintf(`{"born":%d}`, x.born)
	if os.Getenv("BORN") == "0" {
		body = ""
	}
	for range 4 {
		if at := x.call(http.MethodDelete, body, "departure"); !at.IsZero() {
			return at
		}
	}
	return time.Time{}
}

// refuses reports whether the process refuses a request that has arrived now.
func (x *backendProcess) refuses() bool {
	c := x.backend.config
	age := time.Since(time.UnixMilli(x.born))
	return age >= c.refuseFrom && age < c.refuseFrom+c.refuseFor && rand.Float64() < c.refuseShare
}

func (x *backendProcess) serve(w http.ResponseWriter, r *http.Request) {
	b, h := x.backend, w.Header()
	h.Set("Instance-Id", x.id)
	if r.URL.Path == healthPath {
		if x.silent.Load() || *x.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id, caller := r.Header.Get("Request-Id"), r.Header.Get("Caller-Service")
	h.Set("Request-Id", id)
	h.Set(backendHeader, x.name)
	if x.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	reject := func(status int) {
		b.play.addArrival(id, caller, x.name, true)
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != x.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	defer x.running.Add(-1)
	if x.running.Add(1) > int64(b.config.slots+b.config.queue) || x.refuses() {
		reject(http.StatusServiceUnavailable)
		return
	}
	a := b.play.addArrival(id, caller, x.name, false)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		b.play.endArrival(a, true)
		return
	}
	work := b.config.work
	if r.Host == crashHost {
		work = crashRunTime
	}
	select {
	case <-time.After(work):
	case <-x.ended:
		b.play.endArrival(a, true)
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		b.play.endArrival(a, true)
		return
	}
	b.play.endArrival(a, false)
	body := "done " + id
	h.Set("Response-Seal", "seal-"+id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
	if r.Host == crashHost && b.config.crashes {
		_ = http.NewResponseController(w).Flush()
		b.play.endProcess(a)
		b.crash()
		time.AfterFunc(crashDownTime, b.startAnew)
	}
}

// startAnew starts a process with another ID.
func (b *backend) startAnew() {
	b.mu.Lock()
	b.id = fmt.Sprintf("i-%s-%d", b.machine.name, b.started+1)
	b.mu.Unlock()
	if err := b.start(); err != nil {
		b.play.note("the backend of %s does not start: %v", b.machine.name, err)
	}
}

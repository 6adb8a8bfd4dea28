package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what the stand-ins have seen. It is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	file   *os.File
	lines  *bufio.Writer
	began  time.Time
	closed bool
	// requests and arrivals are in the order in which they were sent and have arrived.
	requests []*request
	arrivals []*arrival
}

// request is a client attempt.
type request struct {
	id     string
	entry  string
	host   string
	unsafe bool
	sentAt time.Time
	// answeredAt is zero, status 0 until there is an answer; err says why there is none.
	answeredAt time.Time
	status     int
	sealed     bool
	err        string
	// leaving reports that the answer bore Server-Leaving.
	leaving bool
	// backend is the process that the answer names.
	backend string
}

// arrival is a request at a backend.
type arrival struct {
	id      string
	backend string
	// caller is the Caller-Service of the request.
	caller string
	at     time.Time
	// rejected reports that it was not run, endedAt when its run ended; cut reports that
	// the process ended before, ended that it ended the process.
	rejected, cut, ended bool
	endedAt              time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, lines: bufio.NewWriter(file), began: time.Now()}, nil
}

// note writes a line with the time since the beginning.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(time.Now(), format, args...)
}

func (r *record) noteLocked(at time.Time, format string, args ...any) {
	if !r.closed {
		_, _ = fmt.Fprintf(r.lines, "%8.3f %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (r *record) addRequest(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sentAt = time.Now()
	r.requests = append(r.requests, q)
	r.noteLocked(q.sentAt, "sent %s for %s to %s, unsafe %t", q.id, q.host, q.entry, q.unsafe)
}

// answer applies set to a request that has ended.
func (r *record) answer(q *request, set func(*request)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.answeredAt = time.Now()
	set(q)
	if q.err != "" {
		r.noteLocked(q.answeredAt, "no answer to %s: %s", q.id, q.err)
		return
	}
	r.noteLocked(q.answeredAt, "answered %s: %d, sealed %t, by %q, leaving %t", q.id, q.status, q.sealed, q.backend, q.leaving)
}

func (r *record) addArrival(id, caller, backend string, rejected bool) *arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &arrival{id: id, caller: caller, backend: backend, at: time.Now(), rejected: rejected}
	r.arrivals = append(r.arrivals, a)
	r.noteLocked(a.at, "arrived %s at %s, caller %s, rejected %t", id, backend, caller, rejected)
	return a
}

func (r *record) endArrival(a *arrival, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.endedAt, a.cut = time.Now(), cut
	r.noteLocked(a.endedAt, "ended %s at %s, cut %t", a.id, a.backend, cut)
}

// endProcess records that a run has ended its process.
func (r *record) endProcess(a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.ended = true
	r.noteLocked(time.Now(), "%s ends under %s", a.backend, a.id)
}

// snapshot returns copies of all requests by ID, and of all arrivals.
func (r *record) snapshot() (map[string]request, []arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := make(map[string]request, len(r.requests))
	for _, q := range r.requests {
		requests[q.id] = *q
	}
	arrivals := make([]arrival, len(r.arrivals))
	for i, a := range r.arrivals {
		arrivals[i] = *a
	}
	return requests, arrivals
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if err := r.lines.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

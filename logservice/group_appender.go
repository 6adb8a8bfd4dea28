package logservice

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// GroupAppender shares requests between concurrent appends to one stream, the
// group commit of databases: appends are collected for a short delay or until
// a group is full, and one request is in flight at a time. It is safe for
// concurrent use and has no goroutine while idle.
type GroupAppender struct {
	client  Client
	stream  string
	options GroupOptions

	mu      sync.Mutex
	waiting []*groupEntry
	running bool
	// full is signalled when a whole group waits.
	full chan struct{}
	// delay is the current delay; it grows while the rate is exceeded.
	delay time.Duration
}

type groupEntry struct {
	data  []byte
	since time.Time
	// done receives the outcome; it is buffered, since the caller may be gone.
	done chan groupOutcome
	// abandoned is set when the caller left while the record was being sent.
	abandoned bool
}

type groupOutcome struct {
	offset uint64
	err    error
}

// NewGroupAppender returns a GroupAppender for the stream.
func NewGroupAppender(client Client, stream string, options GroupOptions) *GroupAppender {
	options.setDefaults()
	return &GroupAppender{client: client, stream: stream, options: options, full: make(chan struct{}, 1), delay: options.Delay}
}

// Append adds one record and returns its offset. The error has kind
// log-unavailable, or that of CheckAppend; its run state is not-run if the
// record was certainly not appended. When ctx ends after the record was sent,
// the record may still be appended.
func (g *GroupAppender) Append(ctx context.Context, data []byte) (uint64, error) {
	if err := CheckAppend(g.stream, [][]byte{data}); err != nil {
		return 0, err
	}
	e := &groupEntry{data: data, since: time.Now(), done: make(chan groupOutcome, 1)}
	if err := g.enqueue(e); err != nil {
		return 0, err
	}
	select {
	case out := <-e.done:
		return out.offset, out.err
	case <-ctx.Done():
	}
	gone := kind.Newf(kind.LogUnavailable, "append abandoned: %v", ctx.Err())
	if g.withdraw(e) {
		return 0, gone.WithRun(kind.NotRun)
	}
	return 0, gone
}

// enqueue adds e and starts the sender if none runs.
func (g *GroupAppender) enqueue(e *groupEntry) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) >= g.options.MaxWaiting {
		return kind.Newf(kind.LogUnavailable, "%d appends are waiting", len(g.waiting)).WithRun(kind.NotRun)
	}
	g.waiting = append(g.waiting, e)
	if len(g.waiting) >= g.options.MaxRecords {
		select {
		case g.full <- struct{}{}:
		default:
		}
	}
	if !g.running {
		g.running = true
		go g.run()
	}
	return nil
}

// withdraw removes e and reports whether it was still waiting.
func (g *GroupAppender) withdraw(e *groupEntry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.abandoned = true
	i := slices.Index(g.waiting, e)
	if i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
	return i >= 0
}

// run sends groups until no append waits.
func (g *GroupAppender) run() {
	for g.more() {
		g.pause()
		if group := g.take(); len(group) > 0 {
			g.send(group)
		}
	}
}

// more reports whether an append waits, and ends the run if none does.
func (g *GroupAppender) more() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = len(g.waiting) > 0
	return g.running
}

// pause waits for the delay, or until a group is full. While the rate is
// exceeded it always waits.
func (g *GroupAppender) pause() {
	g.mu.Lock()
	delay, full := g.delay, g.full
	g.mu.Unlock()
	if delay > g.options.Delay {
		full = nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-full:
	}
}

// take removes the next group. It is empty if all callers have left.
func (g *GroupAppender) take() []*groupEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, bytes := 0, 0
	for n < len(g.waiting) && n < g.options.MaxRecords && (n == 0 || bytes+len(g.waiting[n].data) <= MaxRecordBytes) {
		bytes += len(g.waiting[n].data)
		n++
	}
	group := slices.Clone(g.waiting[:n])
	g.waiting = slices.Delete(g.waiting, 0, n)
	return group
}

// send appends one group and hands each entry its own offset or the error.
func (g *GroupAppender) send(group []*groupEntry) {
	data := make([][]byte, len(group))
	for i, e := range group {
		data[i] = e.data
	}
	// The callers' contexts must not cancel a request that others share.
	ctx, cancel := context.WithTimeout(context.Background(), g.options.Timeout)
	defer cancel()
	first, err := g.client.Append(ctx, g.stream, data...)
	refused := errors.Is(err, ErrRateExceeded)
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused {
		g.delay = max(g.options.Delay, min(2*g.delay, maxGroupDelay))
	} else {
		g.delay = max(g.options.Delay, g.delay/2)
	}
	var again []*groupEntry
	for i, e := range group {
		switch {
		case err == nil:
			e.done <- groupOutcome{offset: first + uint64(i)}
		case refused && !e.abandoned && time.Since(e.since) < g.options.MaxWait:
			again = append(again, e)
		default:
			e.done <- groupOutcome{err: err}
		}
	}
	g.waiting = append(again, g.waiting...)
}

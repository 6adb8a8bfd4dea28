package claims

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// MaxGroupRecords bounds the records of one append. A claim has 67 bytes, so an
// append stays below 32 KB in base64.
const MaxGroupRecords = 256

// pendingAppend is a record that waits to be appended.
type pendingAppend struct {
	data []byte
	done chan error
}

// GroupAppender combines the records of concurrent calls into one append (group
// commit). One append is in flight at a time, and appends start at least interval
// apart. An append that follows a longer idle period starts immediately. A
// GroupAppender is safe for concurrent use.
type GroupAppender struct {
	log      logservice.Client
	stream   string
	interval time.Duration
	timeout  time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
	flushes  sync.WaitGroup

	mu        sync.Mutex
	queue     []pendingAppend
	flushing  bool
	lastStart time.Time
	closed    bool
}

// NewGroupAppender returns an appender for a stream. interval is the minimum time
// between the starts of two appends; timeout bounds each append.
func NewGroupAppender(log logservice.Client, stream string, interval, timeout time.Duration) *GroupAppender {
	a := &GroupAppender{log: log, stream: stream, interval: interval, timeout: timeout}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// SetInterval changes the minimum time between the starts of two appends.
func (a *GroupAppender) SetInterval(interval time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interval = interval
}

// Append implements Appender.
func (a *GroupAppender) Append(ctx context.Context, data []byte) error {
	p := pendingAppend{data: data, done: make(chan error, 1)}
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return context.Canceled
	}
	a.queue = append(a.queue, p)
	if !a.flushing {
		a.flushing = true
		a.flushes.Go(a.flush)
	}
	a.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush appends queued records until the queue is empty.
func (a *GroupAppender) flush() {
	for {
		a.mu.Lock()
		pause := a.interval - time.Since(a.lastStart)
		a.mu.Unlock()
		ctxwait.For(a.ctx, pause)
		a.mu.Lock()
		n := min(len(a.queue), MaxGroupRecords)
		if n == 0 {
			a.flushing = false
			a.mu.Unlock()
			return
		}
		group := a.queue[:n:n]
		a.queue = a.queue[n:]
		a.lastStart = time.Now()
		a.mu.Unlock()
		data := make([][]byte, n)
		for i, p := range group {
			data[i] = p.data
		}
		ctx, cancel := context.WithTimeout(a.ctx, a.timeout)
		_, err := a.log.Append(ctx, a.stream, data...)
		cancel()
		for _, p := range group {
			p.done <- err
		}
	}
}

// Close cancels the append in flight and waits for it to end. Later calls of Append
// fail.
func (a *GroupAppender) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.cancel()
	a.flushes.Wait()
}

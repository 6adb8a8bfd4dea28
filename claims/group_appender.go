package claims

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// MaxGroupRecords bounds the records of one append; at 67 bytes for a claim an
// append stays below 32 KB in base64.
const MaxGroupRecords = 256

// pendingAppend is a record that waits for its append.
type pendingAppend struct {
	data []byte
	done chan error
}

// GroupAppender combines the records of concurrent calls into one append. One
// append is in flight at a time, and two appends start at least an interval
// apart. An append after a longer pause starts at once. It is safe for
// concurrent use.
type GroupAppender struct {
	log      logservice.Client
	stream   string
	interval time.Duration
	timeout  time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	queue   []pendingAppend
	running bool
	started time.Time
	closed  bool
}

// NewGroupAppender returns an appender to stream. timeout bounds one append.
func NewGroupAppender(log logservice.Client, stream string, interval, timeout time.Duration) *GroupAppender {
	a := &GroupAppender{log: log, stream: stream, interval: interval, timeout: timeout}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// SetInterval changes the least time between the starts of two appends.
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
	if !a.running {
		a.running = true
		a.done.Go(a.flush)
	}
	a.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush appends until the queue is empty.
func (a *GroupAppender) flush() {
	for {
		a.mu.Lock()
		pause := a.interval - time.Since(a.started)
		a.mu.Unlock()
		ctxwait.For(a.ctx, pause)
		a.mu.Lock()
		n := min(len(a.queue), MaxGroupRecords)
		if n == 0 {
			a.running = false
			a.mu.Unlock()
			return
		}
		group := a.queue[:n:n]
		a.queue = a.queue[n:]
		a.started = time.Now()
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

// Close ends appends in flight and waits for them.
func (a *GroupAppender) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.cancel()
	a.done.Wait()
}

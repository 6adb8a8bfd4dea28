// Package nodelog writes log lines without ever making a request wait for the
// reader of the log.
package nodelog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferedLines is how many lines may wait for the reader: some seconds of
	// lines at the highest rate that is written.
	bufferedLines = 4096
	// flushTimeout bounds the wait for the reader at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// Writer passes lines to another writer on a goroutine of its own. When the
// buffer is full, lines are dropped, and their number is written later.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int
	closed  bool
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped++
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// A log that cannot be written leaves nowhere to say so.
		_, _ = w.out.Write(line)
		w.mu.Lock()
		dropped := w.dropped
		w.dropped = 0
		w.mu.Unlock()
		if dropped > 0 {
			_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped","@timestamp":%q,"lines":%d}`+"\n",
				time.Now().Format(time.RFC3339Nano), dropped)
		}
	}
}

// Close writes what is queued, as long as the reader takes it.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

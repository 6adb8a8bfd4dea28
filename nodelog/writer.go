// Package nodelog writes the log of a node without blocking requests when the
// consumer of the log is slow, and limits the rate of log lines.
package nodelog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedLines bounds the lines queued for the output: several seconds of
	// lines at the highest rate at which a node logs.
	maxBufferedLines = 4096
	// flushTimeout bounds how long Close waits for the queued lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// Writer passes lines to an output from a separate goroutine. Lines that do not
// fit into the buffer are dropped, and a later line reports their number. It is
// safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int
	closed  bool
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go w.writeLoop()
	return w
}

// Write queues one line. It neither blocks nor fails. After Close it discards the
// line.
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

func (w *Writer) writeLoop() {
	defer close(w.done)
	for line := range w.lines {
		// A write error is ignored, as there is no other log to report it to.
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

// Close stops accepting lines and waits up to flushTimeout until the queued ones
// are written.
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

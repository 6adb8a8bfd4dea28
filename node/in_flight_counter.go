package node

import "sync"

// inFlightCounter counts requests in progress. Unlike sync.WaitGroup it allows
// requests to begin while another goroutine waits, as happens during a drain.
type inFlightCounter struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// begin records the start of a request and returns the function that ends it.
func (w *inFlightCounter) begin() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count == 0 {
		w.idle = make(chan struct{})
	}
	w.count++
	return w.end
}

func (w *inFlightCounter) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
	if w.count == 0 {
		close(w.idle)
	}
}

// wait blocks until no request is in progress.
func (w *inFlightCounter) wait() {
	for {
		w.mu.Lock()
		idle, count := w.idle, w.count
		w.mu.Unlock()
		if count == 0 {
			return
		}
		<-idle
	}
}

// current returns the number of requests in progress.
func (w *inFlightCounter) current() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

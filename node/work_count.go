package node

import "sync"

// workCount counts requests in progress. Unlike sync.WaitGroup it allows new
// work to begin while another goroutine waits, as it does during a drain.
type workCount struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// begin records the start of a request and returns the function that ends it.
func (w *workCount) begin() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count == 0 {
		w.idle = make(chan struct{})
	}
	w.count++
	return w.end
}

func (w *workCount) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
	if w.count == 0 {
		close(w.idle)
	}
}

// wait returns when nothing is in progress.
func (w *workCount) wait() {
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
func (w *workCount) current() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

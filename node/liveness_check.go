package node

import (
	"context"
	"sync"
	"time"
)

// livenessCheck pings the connection of one call periodically while the call is
// in flight.
type livenessCheck struct {
	conn   *peerConn
	call   context.Context
	onLost func()
	mu     sync.Mutex
	timer  *time.Timer
}

// schedule sets the timer for the next ping.
func (w *livenessCheck) schedule() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.call.Err() == nil {
		w.timer = time.AfterFunc(pingInterval, w.check)
	}
}

func (w *livenessCheck) check() {
	if w.call.Err() != nil {
		return
	}
	if !w.conn.ping() {
		w.conn.markLost()
		w.onLost()
		return
	}
	w.schedule()
}

func (w *livenessCheck) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

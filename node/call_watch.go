package node

import (
	"context"
	"sync"
	"time"
)

// callWatch pings the connection of one call as long as the call is in flight.
type callWatch struct {
	conn   *peerConn
	call   context.Context
	onLost func()
	mu     sync.Mutex
	timer  *time.Timer
}

// arm schedules the next ping.
func (w *callWatch) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.call.Err() == nil {
		w.timer = time.AfterFunc(pingAfter, w.check)
	}
}

func (w *callWatch) check() {
	if w.call.Err() != nil {
		return
	}
	if !w.conn.ping() {
		w.conn.lose()
		w.onLost()
		return
	}
	w.arm()
}

func (w *callWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

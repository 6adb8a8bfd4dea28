package claims

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
)

const (
	// readMaxRecords is how many records one read may return.
	readMaxRecords = 1000
	// readWait is the long poll of a read at the end of the stream.
	readWait = 5 * time.Second
	// readGrace is added to readWait before a read counts as failed.
	readGrace = 3 * time.Second
	// flushTime bounds the wait for appends in flight when Run ends. A release
	// that is not appended blocks its key for the window.
	flushTime = time.Second
)

// Run follows the claims stream until ctx ends. It returns after all work that
// the guard started has ended; the guard then serves no new client keys. It
// may be called once. A read error is retried.
func (g *Guard) Run(ctx context.Context) {
	ticks, stopTicks := context.WithCancel(g.background)
	g.work.Go(func() { g.tick(ticks) })
	for ctx.Err() == nil {
		g.read(ctx)
	}
	stopTicks()
	g.step(idempotency.ReadFailed{}) // new client keys are refused at once
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	stop := time.AfterFunc(flushTime, g.cancel)
	g.work.Wait()
	stop.Stop()
	g.cancel()
	if g.group != nil {
		g.group.Close()
	}
}

// read reads one batch.
func (g *Guard) read(ctx context.Context) {
	g.mu.Lock()
	from := g.machine.Next()
	g.mu.Unlock()
	started := time.Now()
	// A waiting read of a quiet stream would keep client keys refused for
	// readWait after a start or a failed read.
	wait := readWait
	if !g.atEnd {
		wait = 0
	}
	readCtx, cancel := context.WithTimeout(ctx, readWait+readGrace)
	batch, err := g.options.Log.Read(readCtx, Stream(g.options.Service), from, readMaxRecords, wait)
	cancel()
	g.atEnd = err == nil && len(batch.Records) < readMaxRecords
	if err != nil {
		if ctx.Err() == nil {
			g.options.Logger.Warn("claims stream not read", "service", g.options.Service.String(), "error", err)
			g.step(idempotency.ReadFailed{})
			ctxwait.For(ctx, g.options.Config.RetryPause)
		}
		return
	}
	g.step(idempotency.Records{Batch: batch, AtEnd: len(batch.Records) < readMaxRecords})
	if wait > 0 && len(batch.Records) == 0 && time.Since(started) < readWait/2 {
		// A log that does not wait must not be polled without a pause.
		ctxwait.For(ctx, g.options.Config.RetryPause/10)
	}
}

func (g *Guard) tick(ctx context.Context) {
	ticker := time.NewTicker(g.options.Config.RetryPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.step(idempotency.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

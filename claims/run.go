package claims

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
)

const (
	// maxReadRecords bounds the records that one read returns.
	maxReadRecords = 1000
	// readWait is the long-poll time of a read at the end of the stream.
	readWait = 5 * time.Second
	// readTimeoutMargin is added to readWait to give the timeout of a read.
	readTimeoutMargin = 3 * time.Second
	// shutdownTimeout bounds the wait for appends in flight when Run ends. A
	// release that is not appended blocks its key for the claim window.
	shutdownTimeout = time.Second
)

// Run reads the claims stream until ctx ends, and retries failed reads. It returns
// after all goroutines of the guard have ended; the guard then refuses new client
// keys. Run may be called only once.
func (g *Guard) Run(ctx context.Context) {
	ticks, stopTicks := context.WithCancel(g.background)
	g.backgroundWork.Go(func() { g.tick(ticks) })
	for ctx.Err() == nil {
		g.read(ctx)
	}
	stopTicks()
	g.step(idempotency.ReadFailed{}) // Refuses new client keys from now on.
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	stop := time.AfterFunc(shutdownTimeout, g.cancel)
	g.backgroundWork.Wait()
	stop.Stop()
	g.cancel()
	if g.ownAppender != nil {
		g.ownAppender.Close()
	}
}

// read reads and applies one batch.
func (g *Guard) read(ctx context.Context) {
	g.mu.Lock()
	from := g.machine.Next()
	g.mu.Unlock()
	started := time.Now()
	// After a start or a failed read, client keys are refused until the end of
	// the stream is reached. A long poll of an idle stream would extend that by
	// readWait.
	wait := readWait
	if !g.atEnd {
		wait = 0
	}
	readCtx, cancel := context.WithTimeout(ctx, readWait+readTimeoutMargin)
	batch, err := g.options.Log.Read(readCtx, Stream(g.options.Service), from, maxReadRecords, wait)
	cancel()
	g.atEnd = err == nil && len(batch.Records) < maxReadRecords
	if err != nil {
		if ctx.Err() == nil {
			g.options.Logger.Warn("claims stream not read", "service", g.options.Service.String(), "error", err)
			g.step(idempotency.ReadFailed{})
			ctxwait.For(ctx, g.options.Config.RetryPause)
		}
		return
	}
	g.step(idempotency.Records{Batch: batch, AtEnd: len(batch.Records) < maxReadRecords})
	if wait > 0 && len(batch.Records) == 0 && time.Since(started) < readWait/2 {
		// Limits the poll rate if the log does not support long polls.
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

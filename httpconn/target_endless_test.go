package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/kind"
)

const (
	// smallestInstanceBodyMemory is the body memory of an instance of 184 MB.
	smallestInstanceBodyMemory = 27 << 20
	// maxEndlessHeapGrowth is the most that endless responses may add to the heap.
	maxEndlessHeapGrowth = 64 << 20
	endlessCalls         = 30
)

const okHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\n"

// endlessResponses are the beginnings of responses, and what follows them without
// end.
var endlessResponses = map[string]struct{ start, repeated string }{
	"status line":   {"HTTP/1.1 200 ", "OK"},
	"header field":  {okHead + "X-Long: ", "long"},
	"header fields": {okHead, "X-Many: many\r\n"},
	"interim":       {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"body":          {okHead + "\r\n", "body"},
	"chunks":        {okHead + "Transfer-Encoding: chunked\r\n\r\n", "100\r\n" + strings.Repeat("body", 64) + "\r\n"},
	"trailer":       {okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X-Many: many\r\n"},
	"other answers": {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody"},
}

// peakHeap returns the largest heap seen until done is closed.
func peakHeap(done <-chan struct{}) uint64 {
	var peak uint64
	var stats runtime.MemStats
	for {
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		select {
		case <-done:
			return peak
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Guards against a target in trouble that sends bytes without end and thereby takes
// the memory of its node: every form ends by a bound, with an error that counts
// against the target.
func TestEndlessResponseIsBounded(t *testing.T) {
	for name, endless := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			block := []byte(strings.Repeat(endless.repeated, 16<<10/len(endless.repeated)))
			target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
				if readRequestID(br) == "" {
					return
				}
				_, err := io.WriteString(c, endless.start)
				for err == nil {
					_, err = c.Write(block)
				}
			})
			target.cfg.BodyMemory = bytebudget.New(smallestInstanceBodyMemory)
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			// Without a deadline, only a bound can end the calls, however slow the
			// machine is.
			ctx := context.Background()
			done, peak := make(chan struct{}), make(chan uint64)
			go func() { peak <- peakHeap(done) }()
			failures := make([]*kind.Error, endlessCalls)
			var calls sync.WaitGroup
			for i := range endlessCalls {
				calls.Go(func() { _, failures[i] = target.Do(ctx, newCall("a"), "t") })
			}
			calls.Wait()
			close(done)
			growth := int64(<-peak) - int64(before.HeapAlloc)
			for _, failure := range failures {
				require.NotNil(t, failure)
				require.Contains(t, []kind.Kind{kind.AnswerMismatched, kind.AnswerTruncated}, failure.Kind, failure.Detail)
				require.Equal(t, kind.MayHaveRun, failure.Run)
			}
			require.Less(t, growth, int64(maxEndlessHeapGrowth))
			require.Zero(t, target.cfg.BodyMemory.Used())
		})
	}
}

// Guards against a response that trickles in without end and outlives the deadline
// of its request, or keeps its connection.
func TestTricklingResponseEndsAtDeadline(t *testing.T) {
	for name, endless := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
				defer close(closed)
				readRequestID(br)
				_, err := io.WriteString(c, endless.start)
				for i := 0; err == nil; i++ {
					_, err = io.WriteString(c, endless.repeated[i%len(endless.repeated):][:1])
					time.Sleep(20 * time.Millisecond)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, failure := target.Do(ctx, newCall("a"), "t")
			require.Equal(t, kind.DeadlineExpired, failure.Kind, failure.Detail)
			<-closed
		})
	}
}

// Guards against a bound that rejects large responses that are in order.
func TestLargeResponsePasses(t *testing.T) {
	body := strings.Repeat("x", 8<<20)
	target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
		for id := readRequestID(br); id != ""; id = readRequestID(br) {
			io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
			io.WriteString(c, okResponse(id, body))
		}
	})
	target.cfg.BodyMemory = bytebudget.New(smallestInstanceBodyMemory)
	for range 5 {
		r, failure := target.Do(context.Background(), newCall("a"), "t")
		require.Nil(t, failure)
		require.Equal(t, body, string(r.Body))
		r.BodyMemory.Release()
	}
	require.Zero(t, target.cfg.BodyMemory.Used())
}

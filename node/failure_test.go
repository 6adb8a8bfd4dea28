package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/link"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// hijack ends a request's connection after writing raw bytes to it.
func hijack(w http.ResponseWriter, raw string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	io.WriteString(conn, raw)
	conn.Close()
}

// Guards against partial answers: a truncated or oversized answer must become
// an error that says what is known about the request.
func TestPartialAnswersAreNeverPassedOn(t *testing.T) {
	f := newFixture(t)
	f.publish("front", func(p *configlog.PolicyBody) {
		p.RetryAllowance, p.MaxAnswerBytes = new(0), new(int64(100))
	})
	n := f.addHandler("front", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/short":
			hijack(w, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
		case "/nothing":
			hijack(w, "")
		case "/large":
			io.WriteString(w, strings.Repeat("x", 101))
		default:
			io.WriteString(w, strings.Repeat("x", 100))
		}
	}, nil)
	f.ready()
	for _, c := range []struct{ path, kind, runState string }{
		{"/short", "answer-truncated", "may-have-run"},
		{"/nothing", "answer-truncated", "may-have-run"},
		{"/large", "answer-too-large", "ran"},
	} {
		r := f.call(n, http.MethodGet, "front", c.path)
		require.Equal(t, c.kind, r.kind(), c.path)
		require.Equal(t, c.runState, r.runState(), c.path)
	}
	require.Equal(t, http.StatusOK, f.call(n, http.MethodGet, "front", "/fits").status)
}

// Guards against the transport's own repeats: it sends a request with an
// Idempotency-Key again when a reused connection breaks.
func TestBrokenReusedConnectionIsNotRepeatedByTheTransport(t *testing.T) {
	f := newFixture(t)
	f.publish("front", func(p *configlog.PolicyBody) { p.RetryAllowance = new(0) })
	var seen atomic.Int32
	n := f.addHandler("front", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/warm" {
			seen.Add(1)
			hijack(w, "")
		}
	}, nil)
	f.ready()
	for range 3 {
		require.Equal(t, http.StatusOK, f.call(n, http.MethodGet, "front", "/warm").status)
		before := seen.Load()
		r := f.call(n, http.MethodGet, "front", "/broken", chainhttp.HeaderKey, uuid.NewString())
		require.Equal(t, "may-have-run", r.runState())
		require.Equal(t, before+1, seen.Load())
	}
}

// Guards against a connection that went silent: it must be found by its own
// liveness check, long before the deadline of the request.
func TestSilentPeerConnectionIsReplaced(t *testing.T) {
	f := newFixture(t)
	f.publish("front", func(p *configlog.PolicyBody) { p.Classes[1].TimeoutMS = new(int64(30_000)) })
	reserved, err := net.Listen("tcp", freePort)
	require.NoError(t, err)
	peer := reserved.Addr().String()
	reserved.Close()
	l, err := link.New(peer)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	handler := func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }
	entry := f.startNode(nil)
	behind := f.addHandler("front", handler, func(c *Config) { c.PeerAddress, c.AdvertisePeer = peer, l.Address() })
	require.Eventually(t, func() bool { return entry.ReadyTargets() == 1 && behind.ReadyTargets() == 1 }, eventually, 5*time.Millisecond)

	require.Equal(t, http.StatusOK, f.call(entry, http.MethodGet, "front", "/x").status)
	l.StallConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Address("caller")+"/x", nil)
	require.NoError(t, err)
	r.Host = "front.acme"
	response, err := f.client.Do(r)
	require.NoError(t, err, "no response although the deadline is 30 s away and pings find a silent connection in 1 s")
	response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a caller's departure that stops a payout half-way, or that
// leaves useless work running.
func TestCallerThatLeavesCancelsOnlyRepeatableWork(t *testing.T) {
	f := newFixture(t)
	f.publish("front", nil)
	started, canceled := make(chan string, 8), make(chan string, 8)
	release := make(chan struct{})
	n := f.addHandler("front", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		started <- r.Method
		select {
		case <-r.Context().Done():
			canceled <- r.Method
		case <-release:
			io.WriteString(w, "done")
		}
	}, nil)
	f.ready()
	key := uuid.Must(uuid.NewV7()).String()
	leave := func(method, path string) {
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, method, "http://"+n.Address("caller")+path, nil)
		require.NoError(t, err)
		r.Host = "front.acme"
		r.Header.Set(chainhttp.HeaderKey, key)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if response, err := f.client.Do(r); err == nil {
				response.Body.Close()
			}
		}()
		require.Equal(t, method, <-started)
		cancel()
		<-done
	}
	leave(http.MethodGet, "/read")
	require.Equal(t, http.MethodGet, <-canceled)
	leave(http.MethodPost, "/pay/1")
	close(release)
	r := f.call(n, http.MethodPost, "front", "/pay/1", chainhttp.HeaderKey, key)
	require.Equal(t, "done", r.body)
	require.Equal(t, "true", r.header.Get(chainhttp.HeaderReplayed))
	require.Empty(t, canceled)
}

// Guards against retries that multiply from hop to hop: each hop breaks its
// connection when the hop below it fails, so that the hop above tries again,
// and the allowance of the chain bounds all attempts together.
func TestRetriesOfAChainAreBounded(t *testing.T) {
	const allowance = 2
	f := newFixture(t)
	var attempts atomic.Int32
	chainOf := []string{"front", "middle", "back"}
	for i, service := range chainOf {
		f.publish(service, func(p *configlog.PolicyBody) { p.RetryAllowance = new(allowance) })
		for range 3 {
			client := &http.Client{}
			handler := chainhttp.Middleware(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				attempts.Add(1)
				if i+1 < len(chainOf) {
					below, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+chainOf[i+1]+".acme/x", nil)
					if err != nil {
						t.Error(err)
						return
					}
					if response, err := client.Do(below); err == nil {
						response.Body.Close()
					}
				}
				hijack(w, "")
			}))
			n := f.addHandler(service, handler.ServeHTTP, nil)
			transport := &http.Transport{}
			client.Transport = &chainhttp.Transport{Node: n.Address("target-side"), Base: transport}
			t.Cleanup(transport.CloseIdleConnections)
		}
	}
	f.ready()
	r := f.call(f.nodes[0], http.MethodGet, "front", "/x")
	require.NotEqual(t, http.StatusOK, r.status)
	// Each retry runs the chain below it once more, so the attempts of all hops
	// together are at most the hops times one more than the allowance.
	require.LessOrEqual(t, attempts.Load(), int32(len(chainOf)*(1+allowance)))
}

// Guards against a request that takes down one target after the other while
// its caller sends it again, with a new key each time, through other nodes.
func TestCrashingRequestReachesAtMostTwoTargets(t *testing.T) {
	f := newFixture(t)
	f.publish("front", nil)
	for range 4 {
		f.add(target.Config{Service: "front", CrashPath: "/bad", RestartDelay: 100 * time.Millisecond, ServiceTime: time.Millisecond})
	}
	f.ready()
	for i := range 6 {
		r := f.call(f.nodes[i%4], http.MethodGet, "front", "/bad", chainhttp.HeaderKey, uuid.NewString())
		require.NotEqual(t, http.StatusOK, r.status)
	}
	crashes := 0
	for _, tgt := range f.targets {
		crashes += tgt.Crashes()
	}
	require.LessOrEqual(t, crashes, 2)
	require.Equal(t, "quarantined", f.call(f.nodes[3], http.MethodGet, "front", "/bad").kind())
	for _, n := range f.nodes {
		require.Eventually(t, func() bool { return f.call(n, http.MethodGet, "front", "/good").status == http.StatusOK }, eventually, 20*time.Millisecond)
	}
}

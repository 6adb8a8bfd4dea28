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

// writeRawAndClose ends a request's connection after writing raw bytes to it.
func writeRawAndClose(w http.ResponseWriter, raw string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	io.WriteString(conn, raw)
	conn.Close()
}

// Guards against partial responses and bytes that are none: a truncated or oversized
// response, or one with a spoiled head, must become an error with the run state of the
// request.
func TestPartialResponseIsNotForwarded(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", func(p *configlog.PolicyBody) {
		p.RetryAllowance, p.MaxAnswerBytes = new(0), new(int64(100))
	})
	n := f.addHandler("front", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/short":
			writeRawAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
		case "/blank in a name":
			writeRawAndClose(w, "HTTP/1.1 200 OK\r\nX Note: n\r\nContent-Length: 4\r\n\r\nbody")
		case "/blank before a colon":
			writeRawAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody")
		case "/blank in a trailer":
			writeRawAndClose(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Note: n\r\n\r\n")
		case "/blank in an interim head":
			writeRawAndClose(w, "HTTP/1.1 103 E\r\nX Note: n\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		case "/status 000":
			writeRawAndClose(w, "HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbody")
		case "/nothing":
			writeRawAndClose(w, "")
		case "/large":
			io.WriteString(w, strings.Repeat("x", 101))
		default:
			io.WriteString(w, strings.Repeat("x", 100))
		}
	}, nil)
	f.waitReady()
	for _, c := range []struct{ path, kind, runState string }{
		{"/short", "answer-truncated", "may-have-run"},
		{"/nothing", "answer-truncated", "may-have-run"},
		{"/blank%20in%20a%20name", "answer-mismatched", "may-have-run"},
		{"/blank%20before%20a%20colon", "answer-mismatched", "may-have-run"},
		{"/blank%20in%20a%20trailer", "answer-mismatched", "may-have-run"},
		{"/blank%20in%20an%20interim%20head", "answer-mismatched", "may-have-run"},
		{"/status%20000", "answer-mismatched", "may-have-run"},
		{"/large", "answer-too-large", "ran"},
	} {
		r := f.call(n, http.MethodGet, "front", c.path)
		require.Equal(t, c.kind, r.kind(), c.path)
		require.Equal(t, c.runState, r.runState(), c.path)
	}
	require.Equal(t, http.StatusOK, f.call(n, http.MethodGet, "front", "/fits").status)
}

// Guards against retries by the HTTP transport, which resends a request with an
// Idempotency-Key when a reused connection breaks.
func TestTransportDoesNotRetryBrokenReusedConnection(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", func(p *configlog.PolicyBody) { p.RetryAllowance = new(0) })
	var received atomic.Int32
	n := f.addHandler("front", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/warm" {
			received.Add(1)
			writeRawAndClose(w, "")
		}
	}, nil)
	f.waitReady()
	for range 3 {
		require.Equal(t, http.StatusOK, f.call(n, http.MethodGet, "front", "/warm").status)
		before := received.Load()
		r := f.call(n, http.MethodGet, "front", "/broken", chainhttp.HeaderKey, uuid.NewString())
		require.Equal(t, "may-have-run", r.runState())
		require.Equal(t, before+1, received.Load())
	}
}

// Guards against calls stuck on an unresponsive connection: the liveness check
// must detect it long before the deadline of the request.
func TestUnresponsivePeerConnectionIsReplaced(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", func(p *configlog.PolicyBody) { p.Classes[1].TimeoutMS = new(int64(30_000)) })
	reserved, err := net.Listen("tcp", anyLoopbackPort)
	require.NoError(t, err)
	peer := reserved.Addr().String()
	reserved.Close()
	peerLink, err := link.New(peer)
	require.NoError(t, err)
	t.Cleanup(peerLink.Close)
	handler := func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }
	entry := f.startNode(nil)
	targetNode := f.addHandler("front", handler, func(c *Config) { c.PeerAddress, c.AdvertisePeer = peer, peerLink.Address() })
	require.Eventually(t, func() bool { return entry.ReadyTargets() == 1 && targetNode.ReadyTargets() == 1 }, waitTimeout, 5*time.Millisecond)

	require.Equal(t, http.StatusOK, f.call(entry, http.MethodGet, "front", "/x").status)
	peerLink.StallConnections()
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

// Guards against a client disconnect that aborts a non-idempotent request after
// it was passed to the target, or that leaves an idempotent one running.
func TestClientDisconnectCancelsOnlyIdempotentRequests(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", nil)
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
	f.waitReady()
	key := uuid.Must(uuid.NewV7()).String()
	sendAndDisconnect := func(method, path string) {
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
	sendAndDisconnect(http.MethodGet, "/read")
	require.Equal(t, http.MethodGet, <-canceled)
	sendAndDisconnect(http.MethodPost, "/pay/1")
	close(release)
	r := f.call(n, http.MethodPost, "front", "/pay/1", chainhttp.HeaderKey, key)
	require.Equal(t, "done", r.body)
	require.Equal(t, "true", r.header.Get(chainhttp.HeaderReplayed))
	require.Empty(t, canceled)
}

// Guards against retry amplification across hops: each hop breaks its connection
// when the call below it fails, so that the hop above retries. The allowance of
// the chain must limit all attempts together.
func TestRetriesOfAChainAreBounded(t *testing.T) {
	const allowance = 2
	f := newFixture(t)
	var attempts atomic.Int32
	chainOf := []string{"front", "middle", "back"}
	for i, service := range chainOf {
		f.publishPolicy(service, func(p *configlog.PolicyBody) { p.RetryAllowance = new(allowance) })
		for range 3 {
			client := &http.Client{}
			handler := chainhttp.Middleware(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				attempts.Add(1)
				if i+1 < len(chainOf) {
					subCall, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+chainOf[i+1]+".acme/x", nil)
					if err != nil {
						t.Error(err)
						return
					}
					if response, err := client.Do(subCall); err == nil {
						response.Body.Close()
					}
				}
				writeRawAndClose(w, "")
			}))
			n := f.addHandler(service, handler.ServeHTTP, nil)
			transport := &http.Transport{}
			client.Transport = &chainhttp.Transport{Node: n.Address("target-side"), Base: transport}
			t.Cleanup(transport.CloseIdleConnections)
		}
	}
	f.waitReady()
	r := f.call(f.nodes[0], http.MethodGet, "front", "/x")
	require.NotEqual(t, http.StatusOK, r.status)
	// Each retry runs the chain below it once more, so the attempts of all hops
	// together are at most the hops times one more than the allowance.
	require.LessOrEqual(t, attempts.Load(), int32(len(chainOf)*(1+allowance)))
}

// Guards against a request that crashes one target after another while its
// caller repeats it through other nodes, with a new key each time.
func TestCrashingRequestReachesAtMostTwoTargets(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", nil)
	for range 4 {
		f.addTarget(target.Config{Service: "front", CrashPath: "/bad", RestartDelay: 100 * time.Millisecond, ServiceTime: time.Millisecond})
	}
	f.waitReady()
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
		require.Eventually(t, func() bool { return f.call(n, http.MethodGet, "front", "/good").status == http.StatusOK }, waitTimeout, 20*time.Millisecond)
	}
}

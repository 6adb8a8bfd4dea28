package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

func startServer(t *testing.T, limits routetable.Limits, handle Handler) (*Server, func() net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Names: testNames, Handle: handle, Limits: func() routetable.Limits { return limits }, DefaultTimeout: time.Second}
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return s, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
}

func getRequest(id string) string {
	return fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Timeout: 1000\r\n\r\n", id, id)
}

func echo(_ context.Context, r *message.Request) *message.Response {
	return &message.Response{Status: 200, Body: []byte(r.URI)}
}

// Guards against responses in a different order from their requests, and against
// requests that wait for earlier ones on the same connection.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	release := make(chan struct{})
	_, dial := startServer(t, routetable.Limits{}, func(ctx context.Context, r *message.Request) *message.Response {
		if r.ID == "b" {
			close(release)
		}
		<-release
		return echo(ctx, r)
	})
	c := dial()
	io.WriteString(c, getRequest("a")+getRequest("b")+getRequest("c"))
	br := bufio.NewReader(c)
	for _, id := range []string{"a", "b", "c"} {
		r, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		body, _ := io.ReadAll(r.Body)
		require.Equal(t, "/"+id, string(body))
		require.Equal(t, id, r.Header.Get("X-Id"))
	}
}

// Guards against requests that run on after their caller has disconnected: with a
// pipelined request buffered, net/http's server does not detect the close.
func TestCallerCloseCancelsPipelinedRequests(t *testing.T) {
	started := make(chan struct{}, 2)
	canceled := make(chan string, 2)
	_, dial := startServer(t, routetable.Limits{}, func(ctx context.Context, r *message.Request) *message.Response {
		started <- struct{}{}
		<-ctx.Done()
		canceled <- r.ID
		return &message.Response{Status: 502}
	})
	c := dial()
	io.WriteString(c, getRequest("a")+getRequest("b"))
	<-started
	<-started
	c.Close()
	require.ElementsMatch(t, []string{"a", "b"}, []string{<-canceled, <-canceled})
}

// Guards against a draining node that aborts a request, or reads a request and
// does not respond to it.
func TestDrainingServerClosesConnectionAfterResponse(t *testing.T) {
	s, dial := startServer(t, routetable.Limits{}, echo)
	c := dial()
	br := bufio.NewReader(c)
	io.WriteString(c, getRequest("a"))
	r, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	io.Copy(io.Discard, r.Body)
	require.False(t, r.Close)
	s.Drain()
	io.WriteString(c, getRequest("b"))
	r, err = http.ReadResponse(br, nil)
	require.NoError(t, err)
	io.Copy(io.Discard, r.Body)
	require.True(t, r.Close)
	_, err = br.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	c.Close()
	require.Eventually(t, func() bool { return s.Connections() == 0 }, testTimeout, time.Millisecond)

	idle := dial()
	require.Eventually(t, func() bool { return s.Connections() > 0 }, testTimeout, time.Millisecond)
	s.CloseIdle()
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against malformed or oversized requests that reach the handler or leave
// the caller without a response.
func TestMalformedRequestsAreRejected(t *testing.T) {
	_, dial := startServer(t, routetable.Limits{HeaderBytes: 1024, BodyBytes: 100}, echo)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"not HTTP":                  {"nonsense\r\n\r\n", 400},
		"two Content-Length fields": {"POST / HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"unknown transfer encoding": {"POST / HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nTransfer-Encoding: x\r\n\r\n", 400},
		"invalid timeout":           {"GET / HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Timeout: soon\r\n\r\n", 400},
		"long header":               {"GET / HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Long: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", 431},
		"long body":                 {"POST / HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("x", 200), 413},
		"long chunked body":         {"POST / HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nC8\r\n" + strings.Repeat("x", 200) + "\r\n0\r\n\r\n", 413},
	} {
		conn := dial()
		go io.WriteString(conn, c.text)
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, name)
		require.Equal(t, c.status, r.StatusCode, name)
		require.True(t, r.Close, name)
	}
}

// Guards against callers whose bodies together take the memory of the node. One
// that finds none left is told that its request has not run, and reads that answer
// although the node has not read the body.
func TestRequestBodiesShareMemory(t *testing.T) {
	var handled atomic.Int32
	server, dial := startServer(t, routetable.Limits{}, func(ctx context.Context, r *message.Request) *message.Response {
		handled.Add(1)
		return echo(ctx, r)
	})
	server.BodyMemory = bytebudget.New(1 << 20)
	for _, bodyBytes := range []int{8 << 20, 128 << 10} {
		c := dial()
		go func() {
			fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nContent-Length: %d\r\n\r\n", bodyBytes)
			c.Write(make([]byte, bodyBytes))
		}()
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		if bodyBytes > 1<<20 {
			require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
			require.NotEmpty(t, r.Header.Get("Retry-After"))
			require.Zero(t, handled.Load())
		} else {
			require.Equal(t, http.StatusOK, r.StatusCode)
		}
		require.Eventually(t, func() bool { return server.BodyMemory.Used() == 0 }, testTimeout, time.Millisecond)
	}
}

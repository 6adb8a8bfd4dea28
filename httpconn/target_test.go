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

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

var testNames = HeaderNames{RequestID: "X-Id", TimeoutMS: "X-Timeout", CallerService: "X-Caller", ExpectedTarget: "X-Expected",
	TargetID: "X-Target", Seal: "X-Seal", NotRun: "X-Not-Run", TargetLoad: "X-Load"}

// testTimeout bounds operations that normally end within milliseconds.
const testTimeout = 20 * time.Second

// startScriptedTarget starts a target that runs script for each connection and
// returns a client for it.
func startScriptedTarget(t *testing.T, script func(c net.Conn, br *bufio.Reader)) *Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return NewTarget(TargetConfig{Names: testNames, Address: l.Addr().String()})
}

func readRequestID(br *bufio.Reader) string {
	r, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("X-Id")
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newCall(id string) *message.Call {
	return &message.Call{Request: message.Request{ID: id, Method: "POST", URI: "/a", Host: "h", Deadline: time.Now().Add(testTimeout),
		Header: []message.Field{{Name: "Idempotency-Key", Value: "k"}}}}
}

// Guards against a request that runs twice: net/http's transport retries a request
// with an Idempotency-Key when a reused connection fails.
func TestRequestIsNotRetriedAfterConnectionFailure(t *testing.T) {
	var repeats atomic.Int32
	target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
		id := readRequestID(br)
		io.WriteString(c, okResponse(id, "first"))
		if readRequestID(br) != "" {
			repeats.Add(1)
		}
	})
	_, failure := target.Do(context.Background(), newCall("a"), "t")
	require.Nil(t, failure)
	_, failure = target.Do(context.Background(), newCall("b"), "t")
	require.NotNil(t, failure)
	require.Equal(t, kind.MayHaveRun, failure.Run)
	require.EqualValues(t, 1, repeats.Load())
	require.EqualValues(t, 1, target.Dials())
}

// Guards against a late or repeated response that is matched to the next request,
// and against the failure of that request because of it.
func TestExtraResponseIsNotMatchedToNextRequest(t *testing.T) {
	target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			id := readRequestID(br)
			if id == "" {
				return
			}
			if id == "b" {
				// A second response to the first request arrives before that of the second.
				io.WriteString(c, okResponse("a", "of a, again"))
			}
			io.WriteString(c, okResponse(id, "of "+id))
		}
	})
	for _, id := range []string{"a", "b", "c"} {
		r, failure := target.Do(context.Background(), newCall(id), "t")
		require.Nil(t, failure, id)
		require.Equal(t, "of "+id, string(r.Body))
	}
	require.EqualValues(t, 2, target.Dials(), "the connection with the extra response is not reused")
}

// Guards against truncated responses, and responses not created by a target, that
// are accepted as valid, and against valid ones that are rejected.
func TestResponseValidation(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		reset    bool
		want     kind.Kind
		status   int
	}{
		"truncated body":               {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nabc", false, kind.AnswerTruncated, 0},
		"truncated chunk":              {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false, kind.AnswerTruncated, 0},
		"no response":                  {"", false, kind.AnswerTruncated, 0},
		"garbage":                      {"\x00\x01\x02 nothing\r\n\r\n", false, kind.AnswerTruncated, 0},
		"no length, clean close":       {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\n\r\nabc", false, "", 200},
		"no length, reset":             {"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\n\r\nabc", true, kind.AnswerTruncated, 0},
		"no seal":                      {"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", false, kind.AnswerMismatched, 0},
		"refused by the target":        {"HTTP/1.1 503 S\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false, "", 503},
		"another target":               {"HTTP/1.1 421 M\r\nX-Id: a\r\nX-Target: u\r\nContent-Length: 0\r\n\r\n", false, "", 421},
		"internal error of the target": {"HTTP/1.1 500 E\r\nX-Id: a\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", false, "", 500},
	} {
		t.Run(name, func(t *testing.T) {
			target := startScriptedTarget(t, func(conn net.Conn, br *bufio.Reader) {
				readRequestID(br)
				io.WriteString(conn, c.response)
				if c.reset {
					time.Sleep(20 * time.Millisecond)
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			r, failure := target.Do(context.Background(), newCall("a"), "t")
			if c.want != "" {
				require.NotNil(t, failure)
				require.Equal(t, c.want, failure.Kind)
				require.Equal(t, kind.MayHaveRun, failure.Run)
				return
			}
			require.Nil(t, failure)
			require.Equal(t, c.status, r.Status)
			require.Equal(t, c.status == 503, r.NotRun)
			require.Equal(t, c.status == 421, r.Misdirected)
		})
	}
}

// Guards against a wrong run state: a request is known not to have run only if no
// byte of it was sent.
func TestRefusedConnectionReportsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	_, failure := NewTarget(TargetConfig{Names: testNames, Address: address}).Do(context.Background(), newCall("a"), "t")
	require.Equal(t, kind.DialFailed, failure.Kind)
	require.Equal(t, kind.NotRun, failure.Run)
}

// Guards against targets that go on processing requests whose callers have
// disconnected.
func TestCancelClosesTargetConnection(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
		readRequestID(br)
		close(started)
		br.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	_, failure := target.Do(ctx, newCall("a"), "t")
	require.Equal(t, kind.Canceled, failure.Kind)
	<-ended
}

// Guards against a response that is delayed by a long body that the target does not
// read, and against a later request being sent where the target expects the rest of
// that body.
func TestResponseBeforeLongBodyIsRead(t *testing.T) {
	bodyBytesRead := make(chan int64, 1)
	target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 413 Large\r\nX-Id: a\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		n, _ := io.Copy(io.Discard, r.Body)
		bodyBytesRead <- n
	})
	largeCall := newCall("a")
	largeCall.Body = []byte(strings.Repeat("x", 32<<20))
	r, failure := target.Do(context.Background(), largeCall, "t")
	require.Nil(t, failure)
	require.Equal(t, 413, r.Status)
	require.LessOrEqual(t, <-bodyBytesRead, int64(len(largeCall.Body)))
	_, failure = target.Do(context.Background(), newCall("a"), "t")
	require.Nil(t, failure)
	require.EqualValues(t, 2, target.Dials())
}

// Guards against a request that is sent on the connection of one that was never
// answered: a target that cannot queue a request stays silent on it for good.
func TestSilentConnectionIsNotUsedAgain(t *testing.T) {
	var connections atomic.Int32
	target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
		first := connections.Add(1) == 1
		for id := readRequestID(br); id != ""; id = readRequestID(br) {
			if !first {
				io.WriteString(c, okResponse(id, "of "+id))
			}
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, failure := target.Do(ctx, newCall("a"), "t")
	require.Equal(t, kind.DeadlineExpired, failure.Kind)
	require.Equal(t, kind.MayHaveRun, failure.Run)
	r, failure := target.Do(context.Background(), newCall("b"), "t")
	require.Nil(t, failure)
	require.Equal(t, "of b", string(r.Body))
	require.EqualValues(t, 2, target.Dials())
}

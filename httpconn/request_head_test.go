package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

const smuggled = "POST /inner HTTP/1.1\r\nHost: h\r\nX-Id: inner\r\nContent-Length: 0\r\n\r\n"

// malformedRequests are requests of whose body or next request two recipients may differ,
// or that the grammar of RFC 9112 does not allow. Each is followed by smuggled.
var malformedRequests = map[string]string{
	"blank before the colon of a length":  "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length : 65\r\n\r\n",
	"blank before the colon of a coding":  "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	"blank in a name":                     "POST /outer HTTP/1.1\r\nHost: h\r\nX Note: n\r\nContent-Length: 0\r\n\r\n",
	"name without a colon":                "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length\r\n\r\n",
	"empty name":                          "POST /outer HTTP/1.1\r\nHost: h\r\n: n\r\n\r\n",
	"two lengths":                         "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 65\r\n\r\n",
	"the same length twice":               "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
	"list of lengths":                     "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 0, 0\r\n\r\n",
	"length with a sign":                  "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: +0\r\n\r\n",
	"length in hexadecimal":               "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 0x0\r\n\r\n",
	"length that is empty":                "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: \r\n\r\n",
	"length above 63 bits":                "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"length beside a coding":              "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"coding that is not chunked":          "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n",
	"coding with a control byte":          "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
	"two codings":                         "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"chunked twice":                       "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"coding in version 1.0":               "POST /outer HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"folded value":                        "POST /outer HTTP/1.1\r\nHost: h\r\nX-Note: a\r\n b\r\nContent-Length: 0\r\n\r\n",
	"folded first field":                  "POST /outer HTTP/1.1\r\n Host: h\r\nContent-Length: 0\r\n\r\n",
	"bare CR in a value":                  "POST /outer HTTP/1.1\r\nHost: h\r\nX-Note: a\rContent-Length: 65\r\n\r\n",
	"NUL in a value":                      "POST /outer HTTP/1.1\r\nHost: h\r\nX-Note: a\x00b\r\n\r\n",
	"no host":                             "POST /outer HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
	"two hosts":                           "POST /outer HTTP/1.1\r\nHost: h\r\nHost: i\r\nContent-Length: 0\r\n\r\n",
	"version 2.0":                         "POST /outer HTTP/2.0\r\nHost: h\r\n\r\n",
	"version 0.9":                         "POST /outer\r\nHost: h\r\n\r\n",
	"two blanks in the request line":      "POST  /outer HTTP/1.1\r\nHost: h\r\n\r\n",
	"blank in the target":                 "POST /outer /x HTTP/1.1\r\nHost: h\r\n\r\n",
	"method that is no token":             "PO(ST /outer HTTP/1.1\r\nHost: h\r\n\r\n",
	"empty line before the request":       "\r\nPOST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
	"chunk size with a prefix":            "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n",
	"chunk size with a sign":              "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n",
	"chunk size with a blank":             "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1 \r\na\r\n0\r\n\r\n",
	"chunk size that is empty":            "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\r\na\r\n0\r\n\r\n",
	"chunk size above 60 bits":            "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\na\r\n0\r\n\r\n",
	"chunk line with LF alone":            "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n",
	"chunk line with a bare CR":           "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x\ry\r\na\r\n0\r\n\r\n",
	"chunk longer than its size":          "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
	"chunk with an endless extension":     "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 8000) + "\r\na\r\n0\r\n\r\n",
	"blank before the colon of a trailer": "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Note : n\r\n\r\n",
	"folded trailer":                      "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Note: n\r\n m\r\n\r\n",
	"endless trailer":                     "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X-Note: n\r\n", 1000) + "\r\n",
}

// properRequests are requests with the body "body".
var properRequests = map[string]string{
	"length":               "POST /proper HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
	"length with blanks":   "POST /proper HTTP/1.1\r\nHost: h\r\ncontent-length: \t4 \r\n\r\nbody",
	"chunks":               "POST /proper HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n003\r\nody\r\n0\r\n\r\n",
	"chunks in capitals":   "POST /proper HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n000\r\n\r\n",
	"chunk extensions":     "POST /proper HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4 ;n=v;m=\"w\"\r\nbody\r\n0;x\r\n\r\n",
	"trailer":              "POST /proper HTTP/1.1\r\nHost: h\r\nTrailer: X-Note\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Note: n\r\n\r\n",
	"LF alone in the head": "POST /proper HTTP/1.1\nHost: h\nContent-Length: 4\n\nbody",
	"empty value":          "POST /proper HTTP/1.1\r\nHost: h\r\nX-Note:\r\nContent-Length: 4\r\n\r\nbody",
	"long field":           "POST /proper HTTP/1.1\r\nHost: h\r\nX-Note: " + strings.Repeat("n", 20_000) + "\r\nContent-Length: 4\r\n\r\nbody",
}

// serveRequests starts a server that reports the requests that it has read.
func serveRequests(t testing.TB) (address string, read <-chan *message.Request) {
	requests := make(chan *message.Request, 100)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{
		Names: testNames, DefaultTimeout: time.Second, Limits: func() routetable.Limits { return routetable.Limits{} },
		Handle: func(_ context.Context, r *message.Request) *message.Response {
			requests <- r
			return &message.Response{Status: http.StatusOK}
		},
	}
	go s.Serve(listener)
	t.Cleanup(s.Stop)
	return listener.Addr().String(), requests
}

// exchangeBytes sends bytes on a new connection and returns all that comes back until the
// server closes the connection.
func exchangeBytes(t testing.TB, address, sent string) string {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, sent)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	received, err := io.ReadAll(conn)
	require.NoError(t, err)
	return string(received)
}

// Guards against a request that is smuggled inside another one: the node takes for the next
// request what another recipient takes for the body, or the other way round.
func TestMalformedRequestEndsConnectionUnread(t *testing.T) {
	for name, request := range malformedRequests {
		t.Run(name, func(t *testing.T) {
			address, read := serveRequests(t)
			received := exchangeBytes(t, address, request+smuggled)
			require.True(t, strings.HasPrefix(received, "HTTP/1.1 400 "), "%.60q", received)
			require.Equal(t, 1, strings.Count(received, "HTTP/1.1 "), "one answer, then the connection ends")
			require.Contains(t, received, "Connection: close")
			require.Empty(t, read)
		})
	}
}

// Guards against a check of requests that refuses what the grammar allows, or that loses
// the beginning of the next request.
func TestProperRequestIsReadToItsEnd(t *testing.T) {
	for name, request := range properRequests {
		t.Run(name, func(t *testing.T) {
			address, read := serveRequests(t)
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, request+smuggled)
			require.NoError(t, err)
			answers := bufio.NewReader(conn)
			bodies := map[string]string{}
			for range 2 {
				response, err := http.ReadResponse(answers, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				r := <-read
				bodies[r.URI] = string(r.Body)
			}
			require.Equal(t, map[string]string{"/proper": "body", "/inner": ""}, bodies)
		})
	}
}

func BenchmarkReadRequest(b *testing.B) {
	address, read := serveRequests(b)
	conn, err := net.Dial("tcp", address)
	require.NoError(b, err)
	defer conn.Close()
	request := fmt.Sprintf("POST /bins/17 HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Timeout: 5000\r\nUser-Agent: client\r\nAccept: */*\r\nContent-Length: 400\r\n\r\n%s", strings.Repeat("b", 400))
	answers := bufio.NewReader(conn)
	for b.Loop() {
		_, _ = io.WriteString(conn, request)
		response, err := http.ReadResponse(answers, nil)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		<-read
	}
}

package httphead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that is used again after a malformed head or trailer: the
// next response on it may belong to another request, and a peer that sends such bytes
// often closes the connection behind them.
func TestConnectionIsClosedAfterMalformedResponse(t *testing.T) {
	for name, response := range map[string]string{
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Note: n\r\n\r\n",
		"head":    "HTTP/1.1 200 OK\r\nX Note: n\r\nContent-Length: 0\r\n\r\n",
		"status":  "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"interim": "HTTP/1.1 103 E\r\nX Note: n\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			closed := make(chan error, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					closed <- err
					return
				}
				defer conn.Close()
				r := bufio.NewReader(conn)
				if _, err := http.ReadRequest(r); err != nil {
					closed <- err
					return
				}
				_, _ = io.WriteString(conn, response)
				// The connection stays open until the client closes it.
				_, err = http.ReadRequest(r)
				closed <- err
			}()
			base := &http.Transport{}
			defer base.CloseIdleConnections()
			request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), nil)
			require.NoError(t, err)
			answer, err := (&Transport{Base: base}).RoundTrip(request)
			if err == nil {
				_, err = io.ReadAll(answer.Body)
				_ = answer.Body.Close()
			}
			require.ErrorIs(t, err, ErrMalformed)
			// A connection that is kept for the next request is closed only at the
			// end of its idle time, which is unlimited here.
			require.ErrorIs(t, <-closed, io.EOF)
		})
	}
}

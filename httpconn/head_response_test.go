package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/message"
)

// Guards against a body behind the head of a response that has none: the caller takes it
// for the response to its next request on the connection.
func TestResponseWithoutBodyDoesNotShiftTheNextOne(t *testing.T) {
	for _, method := range []string{http.MethodHead, http.MethodGet} {
		for status := 200; status < 600; status++ {
			for _, fromTarget := range []bool{true, false} {
				_, caller := servePipe(t, func(_ context.Context, r *message.Request) *message.Response {
					if r.ID == "last" {
						return &message.Response{Status: http.StatusOK, Body: []byte("last")}
					}
					return &message.Response{Status: status, Body: []byte("body"), FromTarget: fromTarget}
				}, func(c net.Conn) net.Conn { return c })
				go io.WriteString(caller, method+" / HTTP/1.1\r\nHost: h\r\nX-Id: first\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nX-Id: last\r\n\r\n")
				answers := bufio.NewReader(caller)
				first, err := http.ReadResponse(answers, &http.Request{Method: method})
				require.NoError(t, err, "%s %d", method, status)
				require.Equal(t, status, first.StatusCode)
				require.Equal(t, "first", first.Header.Get("X-Id"))
				body, err := io.ReadAll(first.Body)
				require.NoError(t, err)
				bodyAllowed := status != http.StatusNoContent && status != http.StatusNotModified
				require.Equal(t, method == http.MethodGet && bodyAllowed, len(body) > 0, "%s %d", method, status)
				length := ""
				if bodyAllowed && (method == http.MethodGet || !fromTarget) {
					length = strconv.Itoa(len("body"))
				}
				require.Equal(t, length, first.Header.Get("Content-Length"), "%s %d", method, status)
				last, err := http.ReadResponse(answers, nil)
				require.NoError(t, err, "%s %d", method, status)
				body, err = io.ReadAll(last.Body)
				require.NoError(t, err)
				require.Equal(t, "last", string(body))
				_ = caller.Close()
			}
		}
	}
}

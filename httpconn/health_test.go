package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/httphead"
)

// Guards against a target whose answer to a health check is read wrongly.
func TestHealthAnswer(t *testing.T) {
	target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\n"+testNames.TargetID+": t\r\n"+testNames.NotRun+": 1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
	})
	target.cfg.Names.Leaving = "X-Leaving"
	answer, err := target.CheckHealth(t.Context(), "/health")
	require.NoError(t, err)
	require.Equal(t, HealthAnswer{Status: http.StatusServiceUnavailable, TargetID: "t", NotRun: true, Leaving: true}, answer)
}

// Guards against a target in trouble that counts as healthy by bytes that are no response.
func TestSpoiledHealthAnswerIsNone(t *testing.T) {
	for name, response := range map[string]string{
		"blank in a name":          "HTTP/1.1 200 OK\r\nX-Target: t\r\n2026-12-05 11:22:05 WARN slow query\r\nContent-Length: 0\r\n\r\n",
		"blank in an interim head": "HTTP/1.1 103 E\r\nX Note: n\r\n\r\nHTTP/1.1 200 OK\r\nX-Target: t\r\nContent-Length: 0\r\n\r\n",
		"status 000":               "HTTP/1.1 000 None\r\nX-Target: t\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					_, _ = io.WriteString(c, response)
				}
			})
			_, err := target.CheckHealth(t.Context(), "/health")
			require.ErrorIs(t, err, httphead.ErrMalformed)
		})
	}
}

// Guards against a health check that reads an answer without end: the connection is
// closed after the head, or at the bound of the head.
func TestEndlessHealthAnswerIsBounded(t *testing.T) {
	for name, endless := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			block := []byte(strings.Repeat(endless.repeated, 16<<10/len(endless.repeated)))
			closed := make(chan struct{})
			target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, err := io.WriteString(c, endless.start)
				for err == nil {
					_, err = c.Write(block)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, _ = target.CheckHealth(ctx, "/health")
			require.NoError(t, ctx.Err(), "only the deadline has ended the check")
			select {
			case <-closed:
			case <-time.After(testTimeout):
				require.Fail(t, "the connection stays open")
			}
		})
	}
}

package httpconn

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/link"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// Guards against a body without a length that counts as complete though its connection was
// reset. After an orderly close it is complete (RFC 9112, section 6.3, rule 8): what a test
// takes for a reset has to be one, also behind a stand-in for the network.
func TestBodyWithoutLengthIsCompleteOnlyAfterAnOrderlyClose(t *testing.T) {
	for name, c := range map[string]struct {
		// end ends the connection after a part of the body.
		end      func(l *link.Link, target net.Conn)
		complete bool
	}{
		"target closes":   {func(_ *link.Link, target net.Conn) { target.Close() }, true},
		"link resets":     {func(l *link.Link, _ net.Conn) { l.ResetConnections() }, false},
		"target is reset": {func(_ *link.Link, target net.Conn) { _ = target.(*net.TCPConn).SetLinger(0); target.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			l, err := link.New(listener.Addr().String())
			require.NoError(t, err)
			defer l.Close()
			accepted := make(chan net.Conn, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				buffer := make([]byte, 4096)
				_, _ = conn.Read(buffer)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\n\r\npart")
				accepted <- conn
			}()
			target := NewTarget(TargetConfig{Names: testNames, Address: l.Address()})
			defer target.CloseIdle()
			call := &message.Call{Request: message.Request{ID: "a", Method: "GET", URI: "/", Host: "h", Deadline: time.Now().Add(testTimeout)}}
			type outcome struct {
				response *TargetResponse
				failure  *kind.Error
			}
			done := make(chan outcome, 1)
			go func() {
				response, failure := target.Do(t.Context(), call, "t")
				done <- outcome{response, failure}
			}()
			conn := <-accepted
			defer conn.Close()
			c.end(l, conn)
			got := <-done
			if c.complete {
				require.Nil(t, got.failure)
				return
			}
			require.NotNil(t, got.failure)
			require.Equal(t, kind.AnswerTruncated, got.failure.Kind)
		})
	}
}

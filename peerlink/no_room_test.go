package peerlink

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// Guards against a body without room that ends the connection between two nodes, and with
// it all calls on it.
func TestBodyWithoutRoomFailsItsOwnCallAlone(t *testing.T) {
	long := bytes.Repeat([]byte("b"), 300<<10)
	for name, c := range map[string]struct {
		serverBudget, clientBudget *bytebudget.Budget
		request, response          []byte
		failure                    kind.Kind
		run                        kind.RunState
	}{
		"request":  {serverBudget: bytebudget.New(100 << 10), request: long, failure: kind.Shed, run: kind.NotRun},
		"response": {clientBudget: bytebudget.New(100 << 10), response: long, failure: kind.AnswerTooLarge, run: kind.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			started, release := make(chan struct{}), make(chan struct{})
			server := &Server{BodyMemory: c.serverBudget, Handle: func(_ context.Context, call *message.Call) *message.Reply {
				body := []byte(call.ID)
				switch call.ID {
				case "waiting":
					close(started)
					<-release
				case "long":
					body = c.response
				}
				return &message.Reply{Response: &message.Response{Status: 200, Body: body}}
			}}
			go server.Serve(listener)
			t.Cleanup(server.Stop)
			client := NewClient(listener.Addr().String(), c.clientBudget)
			waiting := make(chan *message.Reply, 1)
			go func() {
				reply, failure := client.Call(t.Context(), testCall("waiting"))
				if failure != nil {
					reply = &message.Reply{Failure: failure}
				}
				waiting <- reply
			}()
			<-started
			call := testCall("long")
			call.Body = c.request
			reply, failure := client.Call(t.Context(), call)
			require.Nil(t, failure, "the connection lives")
			require.Equal(t, c.failure, reply.Failure.Kind)
			require.Equal(t, c.run, reply.Failure.Run)
			reply, failure = client.Call(t.Context(), testCall("later"))
			require.Nil(t, failure)
			require.Equal(t, "later", string(reply.Response.Body))
			close(release)
			reply = <-waiting
			require.Nil(t, reply.Failure)
			require.Equal(t, "waiting", string(reply.Response.Body))
			require.Zero(t, c.serverBudget.Used())
			require.Zero(t, c.clientBudget.Used())
		})
	}
}

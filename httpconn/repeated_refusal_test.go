package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a refusal that a faulty target writes once more on a kept connection,
// and that is taken for the answer to the second try of the same request: the caller
// would be told that it has not run, or it would run at a second target, while this one
// runs it.
func TestRepeatedRefusalIsNotMatchedToSecondTry(t *testing.T) {
	refusal := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	var tries sync.Map
	target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
		last := ""
		for {
			id := readRequestID(br)
			if id == "" {
				return
			}
			_, again := tries.LoadOrStore(id, true)
			if last != "" {
				// The refusal of the first request, once more.
				io.WriteString(c, refusal(last))
			}
			if id == "a" && !again {
				last = id
				io.WriteString(c, refusal(id))
				continue
			}
			io.WriteString(c, okResponse(id, "of "+id))
		}
	})
	r, failure := target.Do(context.Background(), newCall("a"), "t")
	require.Nil(t, failure)
	require.True(t, r.NotRun)
	r, failure = target.Do(context.Background(), newCall("a"), "t")
	require.Nil(t, failure)
	require.False(t, r.NotRun, "the answer to the first try is taken for that to the second")
	require.Equal(t, "of a", string(r.Body))
	// The connection still serves other requests, to which the refusal does not belong.
	r, failure = target.Do(context.Background(), newCall("b"), "t")
	require.Nil(t, failure)
	require.Equal(t, "of b", string(r.Body))
	require.EqualValues(t, 2, target.Dials())
}

// Guards against connections that remember refusals without bound.
func TestConnectionWithManyRefusalsIsGivenUp(t *testing.T) {
	target := startScriptedTarget(t, func(c net.Conn, br *bufio.Reader) {
		for id := readRequestID(br); id != ""; id = readRequestID(br) {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		}
	})
	for i := range 2 * maxRefusedIDs {
		r, failure := target.Do(context.Background(), newCall(fmt.Sprint(i)), "t")
		require.Nil(t, failure)
		require.True(t, r.NotRun)
	}
	require.EqualValues(t, 2, target.Dials())
}

package httpconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// Guards against a kept connection on which requests are judged by the limits of an older
// configuration, since these were read before the connection became idle.
func TestChangedLimitsApplyToKeptConnections(t *testing.T) {
	post := func(note, body int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nX-Note: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("n", note), body, strings.Repeat("b", body))
	}
	low := routetable.Limits{HeaderBytes: 8 << 10, BodyBytes: 10 << 10, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}
	high := routetable.Limits{HeaderBytes: 32 << 10, BodyBytes: 40 << 10, HeaderTimeout: 8 * time.Second, IdleTimeout: 20 * time.Second}
	for name, c := range map[string]struct {
		before, after routetable.Limits
		// wait is how long the connection is idle after the change, pause how long the
		// request takes to arrive.
		wait, pause time.Duration
		request     string
		// status is 0 if the connection ends without a response.
		status int
	}{
		"longer body":          {before: low, after: high, request: post(1, 30<<10), status: http.StatusOK},
		"shorter body":         {before: high, after: low, request: post(1, 30<<10), status: http.StatusRequestEntityTooLarge},
		"longer head":          {before: low, after: high, request: post(20<<10, 1), status: http.StatusOK},
		"shorter head":         {before: high, after: low, request: post(20<<10, 1), status: http.StatusRequestHeaderFieldsTooLarge},
		"longer idle time":     {before: low, after: high, wait: 10 * time.Second, request: post(1, 1), status: http.StatusOK},
		"idle time over":       {before: low, after: high, wait: 30 * time.Second, request: post(1, 1)},
		"longer head timeout":  {before: low, after: high, pause: 4 * time.Second, request: post(1, 1), status: http.StatusOK},
		"shorter head timeout": {before: high, after: low, pause: 4 * time.Second, request: post(1, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var limits atomic.Pointer[routetable.Limits]
				limits.Store(&c.before)
				s := &Server{Names: testNames, Handle: echo, Limits: func() routetable.Limits { return *limits.Load() }, DefaultTimeout: time.Minute}
				caller, served := net.Pipe()
				go newServerConn(s, served).run()
				answers := bufio.NewReader(caller)
				exchange := func(text string, pause time.Duration) int {
					go func() {
						_, _ = io.WriteString(caller, text[:20])
						time.Sleep(pause)
						_, _ = io.WriteString(caller, text[20:])
					}()
					response, err := http.ReadResponse(answers, nil)
					if err != nil {
						return 0
					}
					_, _ = io.Copy(io.Discard, response.Body)
					return response.StatusCode
				}
				require.Equal(t, http.StatusOK, exchange(post(1, 1), 0))
				synctest.Wait()
				limits.Store(&c.after)
				time.Sleep(c.wait)
				require.Equal(t, c.status, exchange(c.request, c.pause))
				_ = caller.Close()
				synctest.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
}

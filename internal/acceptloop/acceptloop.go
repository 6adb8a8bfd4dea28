// Package acceptloop accepts connections until a listener is closed.
package acceptloop

import (
	"errors"
	"net"
	"time"
)

// retryDelay keeps a persistent error, such as used up descriptors, from taking
// a whole core.
const retryDelay = 10 * time.Millisecond

// Run calls handle with each connection, and returns when l has been closed.
func Run(l net.Listener, handle func(net.Conn)) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(retryDelay)
			continue
		}
		handle(nc)
	}
}

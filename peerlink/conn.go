package peerlink

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	// outgoingFrames is how many messages may wait for the writer.
	outgoingFrames = 1024
	// ioBuffer holds a few messages of a usual size.
	ioBuffer = 16 << 10
	// writeTimeout is longer than a slow link takes for the largest usual
	// message; a peer that does not read for this long is given up.
	writeTimeout = 5 * time.Second
)

// conn writes messages of many goroutines to one connection, and flushes when
// no further one waits.
type conn struct {
	nc       net.Conn
	br       *bufio.Reader
	outgoing chan frame
	// in belongs to the goroutine that reads, out to the one that writes.
	in, out texts
	once    sync.Once
	closed  chan struct{}
}

func newConn(nc net.Conn) *conn {
	c := &conn{nc: nc, br: bufio.NewReaderSize(nc, ioBuffer), outgoing: make(chan frame, outgoingFrames), closed: make(chan struct{})}
	go c.write()
	return c
}

// send queues a message; it reports false when the connection has ended.
func (c *conn) send(f frame) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.outgoing <- f:
		return true
	case <-c.closed:
		return false
	}
}

func (c *conn) write() {
	bw := bufio.NewWriterSize(c.nc, ioBuffer)
	var head, payload []byte
	for {
		select {
		case f := <-c.outgoing:
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			for more := true; more; {
				payload = f.encode(payload[:0], &c.out, time.Now())
				f.payload = payload
				head = appendFrame(head[:0], f)
				if _, err := bw.Write(head); err != nil {
					c.close()
					return
				}
				if _, err := bw.Write(f.body); err != nil {
					c.close()
					return
				}
				select {
				case f = <-c.outgoing:
				default:
					more = false
				}
			}
			if err := bw.Flush(); err != nil {
				c.close()
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.nc.Close()
	})
}

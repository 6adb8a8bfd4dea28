package peerlink

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	// outgoingQueueFrames bounds the frames queued for the writer. When the queue
	// is full, send blocks.
	outgoingQueueFrames = 1024
	// ioBufferBytes holds a few frames of typical size.
	ioBufferBytes = 16 << 10
	// writeTimeout closes the connection to a peer that does not read. It exceeds
	// the time that the largest typical frame takes on a slow link.
	writeTimeout = 5 * time.Second
)

// conn writes frames from many goroutines to one connection, and flushes when no
// further frame is queued.
type conn struct {
	nc       net.Conn
	reader   *bufio.Reader
	outgoing chan frame
	// received is used only by the reading goroutine, sent only by writeLoop.
	received, sent stringTable
	closeOnce      sync.Once
	closed         chan struct{}
}

func newConn(nc net.Conn) *conn {
	c := &conn{nc: nc, reader: bufio.NewReaderSize(nc, ioBufferBytes), outgoing: make(chan frame, outgoingQueueFrames), closed: make(chan struct{})}
	go c.writeLoop()
	return c
}

// send queues a frame. It reports false if the connection is closed.
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

func (c *conn) writeLoop() {
	writer := bufio.NewWriterSize(c.nc, ioBufferBytes)
	var header, payload []byte
	for {
		select {
		case f := <-c.outgoing:
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			for more := true; more; {
				payload = f.appendPayload(payload[:0], &c.sent, time.Now())
				f.payload = payload
				header = appendFrame(header[:0], f)
				if _, err := writer.Write(header); err != nil {
					c.close()
					return
				}
				if _, err := writer.Write(f.body); err != nil {
					c.close()
					return
				}
				f.memory.Release()
				select {
				case f = <-c.outgoing:
				default:
					more = false
				}
			}
			if err := writer.Flush(); err != nil {
				c.close()
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.nc.Close()
	})
}

package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/goldcrestsail/goldcrestsail/peerrpc"
)

// peerConn is the multiplexed HTTP/2 connection to one peer. It checks that
// the connection carries bytes while a call waits for its response. The pings
// of the transport would go on while the connection is idle, at about 650 bytes
// a second, a third of what a node may spend on control.
type peerConn struct {
	transport *http.Transport
	client    peerrpc.Peer
	// lost ends when the connection was found silent.
	lost    context.Context
	lose    context.CancelFunc
	pinging atomic.Bool
}

func newPeerConn(address string) *peerConn {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	c := &peerConn{transport: &http.Transport{
		Protocols:       &protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleConnectionTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams,
			WriteByteTimeout:     pingAfter + pingTimeout,
		},
	}}
	c.client = peerrpc.NewPeerProtobufClient("http://"+address, &http.Client{Transport: c.transport})
	c.lost, c.lose = context.WithCancel(context.Background())
	return c
}

// watch checks the connection while a call is in flight and ends the returned
// context when the connection is lost. done must be called after the call;
// onLost is called at most once.
func (c *peerConn) watch(ctx context.Context, onLost func()) (watched context.Context, done func()) {
	watched, cancel := context.WithCancel(ctx)
	unlink := context.AfterFunc(c.lost, cancel)
	w := &callWatch{conn: c, call: watched, onLost: onLost}
	w.arm()
	return watched, func() {
		cancel()
		unlink()
		w.stop()
	}
}

// ping reports whether the peer answers on this connection. One ping at a time
// serves all calls in flight.
func (c *peerConn) ping() bool {
	if !c.pinging.CompareAndSwap(false, true) {
		return true
	}
	defer c.pinging.Store(false)
	ctx, cancel := context.WithTimeout(c.lost, pingTimeout)
	defer cancel()
	_, err := c.client.Ping(ctx, &peerrpc.PingRequest{})
	// An error before the timeout is one of the connection itself, which the
	// call in flight gets as well.
	return err == nil || ctx.Err() == nil || c.lost.Err() != nil
}

// close ends the calls in flight and closes the connection.
func (c *peerConn) close() {
	c.lose()
	c.transport.CloseIdleConnections()
}

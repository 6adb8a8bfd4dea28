package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/goldcrestsail/goldcrestsail/peerrpc"
)

// peerConn is the multiplexed HTTP/2 connection to one peer. It pings the peer
// while a call is in flight. The transport's own pings would also be sent on an
// idle connection and cost about 650 bytes/s, a third of a node's bandwidth
// limit for control traffic.
type peerConn struct {
	transport *http.Transport
	client    peerrpc.Peer
	// lost is canceled when the connection no longer responds or is closed.
	lost     context.Context
	markLost context.CancelFunc
	pinging  atomic.Bool
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
			WriteByteTimeout:     pingInterval + pingTimeout,
		},
	}}
	c.client = peerrpc.NewPeerProtobufClient("http://"+address, &http.Client{Transport: c.transport})
	c.lost, c.markLost = context.WithCancel(context.Background())
	return c
}

// watch checks the connection while a call is in flight and cancels the returned
// context when the connection is lost. done must be called after the call;
// onLost is called at most once.
func (c *peerConn) watch(ctx context.Context, onLost func()) (watched context.Context, done func()) {
	watched, cancel := context.WithCancel(ctx)
	stopWaiting := context.AfterFunc(c.lost, cancel)
	w := &livenessCheck{conn: c, call: watched, onLost: onLost}
	w.schedule()
	return watched, func() {
		cancel()
		stopWaiting()
		w.stop()
	}
}

// ping reports whether the peer responds on this connection. Only one ping is
// sent at a time, for all calls in flight.
func (c *peerConn) ping() bool {
	if !c.pinging.CompareAndSwap(false, true) {
		return true
	}
	defer c.pinging.Store(false)
	ctx, cancel := context.WithTimeout(c.lost, pingTimeout)
	defer cancel()
	_, err := c.client.Ping(ctx, &peerrpc.PingRequest{})
	// An error before the timeout is an error of the connection itself, which
	// the call in flight also receives.
	return err == nil || ctx.Err() == nil || c.lost.Err() != nil
}

// close cancels the calls in flight and closes the connection.
func (c *peerConn) close() {
	c.markLost()
	c.transport.CloseIdleConnections()
}

package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
)

// peers holds the RPC clients of other nodes. All share one transport, which
// keeps one multiplexed HTTP/2 connection per peer.
type peers struct {
	transport *http.Transport
	mu        sync.RWMutex
	clients   map[string]peerrpc.Peer
}

func newPeers() *peers {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &peers{
		clients: map[string]peerrpc.Peer{},
		transport: &http.Transport{
			Protocols:       &protocols,
			DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout: idleConnectionTimeout,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams: maxConcurrentStreams,
				SendPingTimeout:      pingAfter,
				PingTimeout:          pingTimeout,
				WriteByteTimeout:     pingAfter + pingTimeout,
			},
		},
	}
}

// client returns the RPC client of the node with the given peer address.
func (p *peers) client(address string) peerrpc.Peer {
	p.mu.RLock()
	c := p.clients[address]
	p.mu.RUnlock()
	if c != nil {
		return c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c = p.clients[address]; c == nil {
		c = peerrpc.NewPeerProtobufClient("http://"+address, &http.Client{Transport: p.transport})
		p.clients[address] = c
	}
	return c
}

// forget drops the client of a peer that has left.
func (p *peers) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, address)
}

func (p *peers) close() { p.transport.CloseIdleConnections() }

// peerError maps the error of an RPC to a kind. A dial that failed is the only
// case in which the request certainly did not reach the peer.
func peerError(ctx context.Context, err error) *kind.Error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return kind.New(kind.DialFailed, err.Error())
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return kind.New(kind.DeadlineExpired, "no answer from the target's node before the deadline")
	case errors.Is(ctx.Err(), context.Canceled):
		return kind.New(kind.Canceled, "the caller left")
	}
	return kind.New(kind.PeerLost, err.Error())
}

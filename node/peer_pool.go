package node

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
)

// peerPool holds the connections to other nodes, one for each peer address. It is
// safe for concurrent use.
type peerPool struct {
	mu    sync.RWMutex
	conns map[string]*peerConn
}

func newPeerPool() *peerPool { return &peerPool{conns: map[string]*peerConn{}} }

// conn returns the connection to the node with the given peer address.
func (p *peerPool) conn(address string) *peerConn {
	p.mu.RLock()
	c := p.conns[address]
	p.mu.RUnlock()
	if c != nil {
		return c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c = p.conns[address]; c == nil {
		c = newPeerConn(address)
		p.conns[address] = c
	}
	return c
}

// call runs an RPC on a peer. If the connection stops responding, the RPC fails
// with peer-lost and later calls use a new connection; a response that still
// arrives on the old one is discarded.
func (p *peerPool) call(ctx context.Context, address string, rpc func(context.Context, peerrpc.Peer) error) *kind.Error {
	c := p.conn(address)
	watched, done := c.watch(ctx, func() { p.discard(address, c) })
	defer done()
	if err := rpc(watched, c.client); err != nil {
		return peerError(ctx, err)
	}
	return nil
}

// discard closes a connection and removes it from the pool, unless another one
// has replaced it there.
func (p *peerPool) discard(address string, c *peerConn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	c.close()
}

// removeDeparted removes the connection to a peer that has left. Calls in flight
// continue, because the membership can be wrong about the peer.
func (p *peerPool) removeDeparted(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		delete(p.conns, address)
		c.transport.CloseIdleConnections()
	}
}

// addresses returns the sorted addresses of the peers with a connection.
func (p *peerPool) addresses() []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Sorted(maps.Keys(p.conns))
}

func (p *peerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.close()
	}
	p.conns = map[string]*peerConn{}
}

// peerError maps an RPC error to a kind. Only after a failed dial is it certain
// that the request did not reach the peer.
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

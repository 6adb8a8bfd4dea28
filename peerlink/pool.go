package peerlink

import (
	"slices"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
)

// Pool holds one client for each peer. It is safe for concurrent use.
type Pool struct {
	bodyMemory *bytebudget.Budget

	mu      sync.Mutex
	clients map[string]*Client
	// retired holds removed clients that still have pending calls.
	retired []*Client
	// checkedAt is the time of the last Check.
	checkedAt time.Time
}

// NewPool returns an empty pool. bodyMemory bounds the bodies of all replies
// together; nil means unlimited.
func NewPool(bodyMemory *bytebudget.Budget) *Pool {
	return &Pool{bodyMemory: bodyMemory, clients: map[string]*Client{}}
}

// Get returns the client of the peer at address, and creates it if necessary.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = NewClient(address, p.bodyMemory)
		p.clients[address] = c
	}
	return c
}

// CheckInterval is the interval at which Check should be called.
const CheckInterval = 50 * time.Millisecond

// maxCheckGap is the longest time between two checks that counts as silence of the
// peers. After a longer one this process was paused, and what the peers sent
// meanwhile may not have been read.
const maxCheckGap = 2 * CheckInterval

// Check pings peers from which nothing is received while calls are pending, and
// closes the connections of those that do not respond. It returns the addresses
// of the peers that are suspected to have failed.
func (p *Pool) Check(now time.Time) (suspects []string) {
	p.mu.Lock()
	pause := time.Duration(0)
	if !p.checkedAt.IsZero() {
		pause = max(0, now.Sub(p.checkedAt)-maxCheckGap)
	}
	p.checkedAt = now
	p.retired = slices.DeleteFunc(p.retired, (*Client).ended)
	clients := append(make([]*Client, 0, len(p.clients)+len(p.retired)), p.retired...)
	for _, c := range p.clients {
		clients = append(clients, c)
	}
	p.mu.Unlock()
	for _, c := range clients {
		if c.checkLiveness(now, pause) {
			suspects = append(suspects, c.address)
		}
	}
	return suspects
}

// Remove removes the client of the peer at address. Calls that are pending get their
// replies: a peer that leaves finishes what it has begun.
func (p *Pool) Remove(address string) {
	p.mu.Lock()
	c := p.clients[address]
	delete(p.clients, address)
	if c != nil {
		p.retired = append(p.retired, c)
	}
	p.mu.Unlock()
	if c != nil {
		c.Retire()
	}
}

// Close closes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
	for _, c := range p.retired {
		c.Close()
	}
}

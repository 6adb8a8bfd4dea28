package memnet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"
)

// maxHeld bounds the datagrams kept for a frozen host, like a socket buffer.
const maxHeld = 256

// Network connects hosts. It is not safe for concurrent use.
type Network struct {
	rng    *rand.Rand
	now    time.Time
	seq    uint64
	events eventHeap
	ports  map[netip.AddrPort]*port

	loss         float64
	minLatency   time.Duration
	latencyRange time.Duration
	sides        map[netip.AddrPort]int

	counters Counters
}

// port is an attached host.
type port struct {
	addr   netip.AddrPort
	host   Host
	wakeAt time.Time
	frozen bool
	gone   bool
	held   []event
}

// New returns a network without loss and with a latency of 1 ms.
func New(rng *rand.Rand, start time.Time) *Network {
	return &Network{rng: rng, now: start, minLatency: time.Millisecond, ports: make(map[netip.AddrPort]*port)}
}

// Now returns the virtual time.
func (n *Network) Now() time.Time { return n.now }

// Counters returns the counters since the start.
func (n *Network) Counters() Counters { return n.counters }

// SetLoss sets the probability that a datagram is lost.
func (n *Network) SetLoss(p float64) { n.loss = p }

// SetLatency sets the range from which each one-way latency is drawn.
func (n *Network) SetLatency(least, most time.Duration) {
	n.minLatency, n.latencyRange = least, most-least
}

// Cut drops every datagram between hosts with different sides. Hosts that are
// not in sides are on side 0. A nil map heals the network.
func (n *Network) Cut(sides map[netip.AddrPort]int) { n.sides = sides }

// Attach adds a host, in place of one that held the address before.
func (n *Network) Attach(addr netip.AddrPort, h Host) {
	n.Detach(addr)
	p := &port{addr: addr, host: h}
	n.ports[addr] = p
	n.schedule(p)
}

// Detach removes a host without notice. Datagrams under way to it are lost.
func (n *Network) Detach(addr netip.AddrPort) {
	if p := n.ports[addr]; p != nil {
		p.gone = true
		delete(n.ports, addr)
	}
}

// Freeze stops a host from running until Thaw. Up to 256 datagrams wait for it.
func (n *Network) Freeze(addr netip.AddrPort) { n.ports[addr].frozen = true }

// Thaw lets a frozen host run again; it receives first what waited for it.
func (n *Network) Thaw(addr netip.AddrPort) {
	p := n.ports[addr]
	p.frozen = false
	held := p.held
	p.held = nil
	for _, e := range held {
		n.deliver(e)
	}
	n.schedule(p)
}

// Poke asks a host for its next wake-up again, after an event from outside.
func (n *Network) Poke(addr netip.AddrPort) {
	if p := n.ports[addr]; p != nil {
		n.schedule(p)
	}
}

// Send puts a datagram on the way. The network keeps datagram.
func (n *Network) Send(from, to netip.AddrPort, datagram []byte) {
	n.counters.Sent++
	p := n.ports[to]
	if p == nil || n.sides[from] != n.sides[to] || n.rng.Float64() < n.loss {
		n.counters.Lost++
		return
	}
	at := n.now.Add(n.minLatency)
	if n.latencyRange > 0 {
		at = at.Add(time.Duration(n.rng.Int64N(int64(n.latencyRange))))
	}
	n.push(event{at: at, to: p, from: from, datagram: datagram})
}

func (n *Network) push(e event) {
	n.seq++
	e.seq = n.seq
	heap.Push(&n.events, e)
}

func (n *Network) schedule(p *port) {
	at := p.host.NextWake()
	if at.Before(n.now) {
		at = n.now
	}
	if at.Equal(p.wakeAt) {
		return
	}
	p.wakeAt = at
	n.push(event{at: at, to: p})
}

func (n *Network) deliver(e event) {
	n.counters.Delivered++
	e.to.host.Deliver(n.now, e.from, e.datagram)
	n.schedule(e.to)
}

// Run advances the virtual time by d.
func (n *Network) Run(d time.Duration) { n.RunUntil(n.now.Add(d), nil) }

// RunUntil advances the virtual time to end, or until done returns true. done
// may be nil; it is asked after each event.
func (n *Network) RunUntil(end time.Time, done func() bool) {
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		switch {
		case e.to.gone:
			continue
		case e.datagram == nil:
			if !e.at.Equal(e.to.wakeAt) {
				continue
			}
			e.to.wakeAt = time.Time{}
			if e.to.frozen {
				continue
			}
			e.to.host.Wake(n.now)
			n.schedule(e.to)
		case e.to.frozen:
			if len(e.to.held) < maxHeld {
				e.to.held = append(e.to.held, e)
			}
			continue
		default:
			n.deliver(e)
		}
		if done != nil && done() {
			return
		}
	}
	n.now = end
}

package cluster

import (
	"net/netip"
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// Peer is one simulated process.
type Peer struct {
	cluster *Cluster
	// Index is the position in Cluster.Peers.
	Index int
	Addr  netip.AddrPort
	Node  *membership.Node
	// Up is false once the process was killed or has left.
	Up bool
	// Frozen is true while the process is paused.
	Frozen bool
}

// Deliver implements memnet.Host.
func (p *Peer) Deliver(now time.Time, from netip.AddrPort, datagram []byte) {
	p.step(now, membership.Datagram{From: from, Bytes: datagram})
}

// Wake implements memnet.Host.
func (p *Peer) Wake(now time.Time) { p.step(now, membership.Tick{}) }

// NextWake implements memnet.Host.
func (p *Peer) NextWake() time.Time { return p.Node.NextTick() }

// Do passes a local event to the node.
func (p *Peer) Do(e membership.Event) {
	p.step(p.cluster.Net.Now(), e)
	p.cluster.Net.Poke(p.Addr)
}

func (p *Peer) step(now time.Time, e membership.Event) {
	var start time.Time
	if p.cluster.opts.Timed {
		start = time.Now()
	}
	effects := p.Node.Step(now, e)
	if p.cluster.opts.Timed {
		p.cluster.StepTime += time.Since(start)
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case membership.Send:
			p.cluster.Largest = max(p.cluster.Largest, len(effect.Bytes))
			p.cluster.Net.Send(p.Addr, effect.To, effect.Bytes)
		case membership.MemberChanged:
			p.cluster.changed(p, effect.Member)
		case membership.LeaveComplete:
			p.Up = false
			p.cluster.Net.Detach(p.Addr)
		}
		if p.cluster.OnEffect != nil {
			p.cluster.OnEffect(p, effect)
		}
	}
}

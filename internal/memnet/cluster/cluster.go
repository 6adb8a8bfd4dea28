package cluster

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/internal/memnet"
	"github.com/goldcrestsail/goldcrestsail/membership"
)

// Cluster is a set of simulated processes. It is not safe for concurrent use.
type Cluster struct {
	Net   *memnet.Network
	Peers []*Peer
	// OnEffect, if set, sees every effect of every node.
	OnEffect func(*Peer, membership.Effect)
	// FalseSuspicions and FalseDeaths count reports of a state suspect or dead
	// about a process that was up, not paused and not cut off, one per
	// reporting node.
	FalseSuspicions, FalseDeaths int
	// StepTime is the wall time spent in the nodes if Options.Timed is set.
	StepTime time.Duration
	// Largest is the size of the largest datagram in bytes.
	Largest int

	opts    Options
	rng     *rand.Rand
	byID    map[uuid.UUID]*Peer
	cut     bool
	watches []*Watch
}

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// New returns a cluster without running processes.
func New(opts Options) *Cluster {
	opts = opts.withDefaults()
	rng := rand.New(rand.NewPCG(opts.Seed, 0))
	c := &Cluster{Net: memnet.New(rng, epoch), opts: opts, rng: rng, byID: make(map[uuid.UUID]*Peer)}
	c.Net.SetLoss(opts.Loss)
	c.Net.SetLatency(opts.LeastLatency, opts.MostLatency)
	return c
}

// Start starts Options.Members processes, Options.StartRate of them per second.
func (c *Cluster) Start() {
	for range c.opts.Members {
		c.Add()
		c.Net.Run(time.Second / time.Duration(c.opts.StartRate))
	}
}

// Add starts one more process.
func (c *Cluster) Add() *Peer {
	p := &Peer{cluster: c, Index: len(c.Peers)}
	i := p.Index
	p.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946)
	c.Peers = append(c.Peers, p)
	c.Restart(p)
	return p
}

// Meta returns the metadata with which process i starts.
func (c *Cluster) Meta(i int) membership.Meta {
	domain := i % c.opts.Domains
	return membership.Meta{
		Customer: "customer", Service: fmt.Sprintf("service-%d", i%95),
		PeerAddr:      netip.AddrPortFrom(c.Peers[i].Addr.Addr(), 7947),
		FailureDomain: fmt.Sprintf("domain-%d", domain), Region: fmt.Sprintf("region-%d", domain%c.opts.Regions),
		TargetState: membership.Ready, Slots: 70,
	}
}

// Restart starts a new process, with a new ID, at the address of p.
func (c *Cluster) Restart(p *Peer) {
	var id uuid.UUID
	for i := range id {
		id[i] = byte(c.rng.Uint32())
	}
	cfg := membership.Config{ID: id, Addr: p.Addr, Meta: c.Meta(p.Index)}
	for i := 0; i < min(3, len(c.Peers)); i++ {
		cfg.Seeds = append(cfg.Seeds, c.Peers[i].Addr)
	}
	if c.opts.Configure != nil {
		c.opts.Configure(&cfg)
	}
	node, err := membership.New(cfg, rand.New(rand.NewPCG(c.rng.Uint64(), c.rng.Uint64())), c.Net.Now())
	if err != nil {
		panic(err)
	}
	p.Node, p.Up, p.Frozen = node, true, false
	c.byID[id] = p
	c.Net.Attach(p.Addr, p)
}

// Kill ends a process without notice.
func (c *Cluster) Kill(p *Peer) {
	p.Up = false
	c.Net.Detach(p.Addr)
}

// Freeze pauses a process.
func (c *Cluster) Freeze(p *Peer) {
	p.Frozen = true
	c.Net.Freeze(p.Addr)
}

// Thaw lets a paused process run again.
func (c *Cluster) Thaw(p *Peer) {
	p.Frozen = false
	c.Net.Thaw(p.Addr)
}

// Cut separates the processes for which in returns true from the others.
func (c *Cluster) Cut(in func(*Peer) bool) {
	sides := make(map[netip.AddrPort]int)
	for _, p := range c.Peers {
		if in(p) {
			sides[p.Addr] = 1
		}
	}
	c.cut = true
	c.Net.Cut(sides)
}

// Heal ends a cut. Until the sides agree again, reports about the other side
// are not counted as false.
func (c *Cluster) Heal() { c.Net.Cut(nil) }

// CountFalse starts to count false reports again after a healed cut.
func (c *Cluster) CountFalse() { c.cut = false }

// Up returns the running processes.
func (c *Cluster) Up() []*Peer {
	var out []*Peer
	for _, p := range c.Peers {
		if p.Up {
			out = append(out, p)
		}
	}
	return out
}

// Converged reports whether share of the running processes have exactly as
// many present members as processes run.
func (c *Cluster) Converged(share float64) bool {
	up := c.Up()
	agree := 0
	for _, p := range up {
		if p.Node.Size() == len(up) {
			agree++
		}
	}
	return float64(agree) >= share*float64(len(up))
}

// RunUntilConverged runs until share of the processes agree, at most limit. It
// returns the time taken and whether they agreed.
func (c *Cluster) RunUntilConverged(share float64, limit time.Duration) (time.Duration, bool) {
	const step = 100 * time.Millisecond
	start := c.Net.Now()
	for c.Net.Now().Sub(start) < limit {
		if c.Converged(share) {
			return c.Net.Now().Sub(start), true
		}
		c.Net.Run(step)
	}
	return limit, c.Converged(share)
}

// BytesSent returns the bytes sent by all running processes, packet headers
// included, and the number of datagrams.
func (c *Cluster) BytesSent() (bytes, datagrams uint64) {
	for _, p := range c.Up() {
		s := p.Node.Stats()
		bytes += s.BytesSent
		datagrams += s.DatagramsSent
	}
	return bytes, datagrams
}

func (c *Cluster) changed(by *Peer, m membership.Member) {
	for _, w := range c.watches {
		w.see(by, m)
	}
	about := c.byID[m.ID]
	if c.cut || about == nil || about == by || !about.Up || about.Frozen || about.Node.Self().ID != m.ID {
		return
	}
	switch m.State {
	case membership.Suspect:
		c.FalseSuspicions++
	case membership.Dead:
		c.FalseDeaths++
	}
}

package cluster

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// Options configures a Cluster. Zero fields take the value given beside them.
type Options struct {
	// Members is the number of nodes started by Start.
	Members int
	// Seed determines the whole run (1).
	Seed uint64
	// Loss is the probability that a datagram is lost.
	Loss float64
	// LeastLatency and MostLatency bound the one-way latency (1 ms and 10 ms).
	LeastLatency, MostLatency time.Duration
	// StartRate is the number of processes that Start starts per second (20).
	StartRate int
	// Domains and Regions are the numbers of failure domains and regions (11 and 5).
	Domains, Regions int
	// Configure may change the configuration of each node.
	Configure func(*membership.Config)
	// Timed measures the processor time spent in the nodes, on the wall clock.
	Timed bool
}

func (o Options) withDefaults() Options {
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.LeastLatency == 0 {
		o.LeastLatency = time.Millisecond
	}
	if o.MostLatency == 0 {
		o.MostLatency = 10 * time.Millisecond
	}
	if o.StartRate == 0 {
		o.StartRate = 20
	}
	if o.Domains == 0 {
		o.Domains = 11
	}
	if o.Regions == 0 {
		o.Regions = 5
	}
	return o
}

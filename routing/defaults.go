package routing

import "time"

// Defaults of Options and PickInput.
const (
	// DefaultSubset bounds the connections of a node to a service.
	DefaultSubset = 8
	// DefaultEjectAfter tolerates the few failures that one crash or one
	// broken connection causes at light load.
	DefaultEjectAfter = 5
	// DefaultSilence is longer than any queue timeout, so that a target that
	// only queues is not taken for silent.
	DefaultSilence  = time.Second
	DefaultProbeMin = 500 * time.Millisecond
	DefaultProbeMax = 8 * time.Second
	// DefaultLoadHalfLife is a few round trips: within it, the calls of other
	// nodes change a target's load.
	DefaultLoadHalfLife    = 200 * time.Millisecond
	DefaultDomainFactor    = 2.0
	DefaultFullUtilization = 0.8
	DefaultSaturatedFactor = 1.0
	// DefaultMaxLatencyFactor is more than the speeds of healthy targets differ.
	DefaultMaxLatencyFactor = 4.0
)

func (o *Options) applyDefaults() {
	setDefault(&o.EjectAfter, DefaultEjectAfter)
	setDefault(&o.Silence, DefaultSilence)
	setDefault(&o.ProbeMin, DefaultProbeMin)
	setDefault(&o.ProbeMax, DefaultProbeMax)
	setDefault(&o.LoadHalfLife, DefaultLoadHalfLife)
	setDefault(&o.DomainFactor, DefaultDomainFactor)
	setDefault(&o.FullUtilization, DefaultFullUtilization)
	setDefault(&o.SaturatedFactor, DefaultSaturatedFactor)
	setDefault(&o.MaxLatencyFactor, DefaultMaxLatencyFactor)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

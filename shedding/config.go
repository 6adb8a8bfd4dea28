package shedding

import "time"

// Defaults of a table.
const (
	// DefaultMaxAge is the age at which a level is discarded. Levels change every
	// 100 ms, and an old one would refuse requests after the overload has passed.
	DefaultMaxAge = time.Second
	// DefaultProbeShare is the share of the requests above a level that is let
	// through, so that a rise of the level is noticed.
	DefaultProbeShare = 0.02
	// DefaultMaxTargets bounds the targets whose level is kept: the design size.
	DefaultMaxTargets = 1400
	// DefaultMaxPaths bounds the pairs of entry service and class: 95 services
	// with up to about ten classes each.
	DefaultMaxPaths = 1024
)

// Config holds the settings of a Table. Zero fields take the defaults.
type Config struct {
	MaxAge     time.Duration
	ProbeShare float64
	// Protected is the number of importances, from the most important on, whose
	// requests are refused early only for the level of a more important class.
	// 0 protects none.
	Protected  int
	MaxTargets int
	MaxPaths   int
}

func (c Config) withDefaults() Config {
	if c.MaxAge <= 0 {
		c.MaxAge = DefaultMaxAge
	}
	if c.ProbeShare <= 0 {
		c.ProbeShare = DefaultProbeShare
	}
	if c.MaxTargets <= 0 {
		c.MaxTargets = DefaultMaxTargets
	}
	if c.MaxPaths <= 0 {
		c.MaxPaths = DefaultMaxPaths
	}
	return c
}

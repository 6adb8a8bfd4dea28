package shedding

import "time"

// Defaults of a Table.
const (
	// DefaultMaxAge is the age above which a level is ignored. Levels change every
	// 100 ms, and an old one would refuse requests after the overload has ended.
	DefaultMaxAge = time.Second
	// DefaultProbeShare is the share of the requests above a level that is let
	// through as probes, so that a rise of the level is detected.
	DefaultProbeShare = 0.02
	// DefaultMaxTargets bounds the number of targets whose level is kept. It equals
	// the number of targets that the system is designed for.
	DefaultMaxTargets = 1400
	// DefaultMaxPaths bounds the number of pairs of entry service and class: 95
	// services with up to about ten classes each.
	DefaultMaxPaths = 1024
)

// Config holds the settings of a Table. Zero fields take the defaults.
type Config struct {
	MaxAge     time.Duration
	ProbeShare float64
	// ProtectedImportances is the number of importances, from the most important
	// on, whose requests are refused early only for the level of a more important
	// class. 0 protects none.
	ProtectedImportances int
	MaxTargets           int
	MaxPaths             int
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

package demo

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Options configures the demo.
type Options struct {
	// Deployment is qureshi or takstolshuset.
	Deployment string
	// Duration is the length of each of the two runs.
	Duration time.Duration
	Seed     uint64
	// Record is the file that the requests and faults of the controlled run are
	// written to as a trace, with its outcomes beside it. If empty, nothing
	// is written.
	Record string
	// Progress receives one line per second; nil disables it.
	Progress func(string)
}

// The lengths of the steady and the overload phase as fractions of the run's
// duration; the remainder is the recovery phase.
const (
	steadyShare   = 0.25
	overloadShare = 0.4
)

// DefaultDuration keeps both runs under a minute.
const DefaultDuration = 22 * time.Second

// minDuration gives each phase several goodput windows.
const minDuration = 8 * time.Second

func (o *Options) validate() (*deployment, error) {
	d := deployments[o.Deployment]
	if d == nil {
		return nil, &kind.Error{Kind: kind.SettingsInvalid, Run: kind.NotRun, Fields: []kind.FieldError{
			{Field: "deployment", Value: o.Deployment, Allowed: "qureshi or takstolshuset"}}}
	}
	if o.Duration < minDuration {
		return nil, &kind.Error{Kind: kind.SettingsInvalid, Run: kind.NotRun, Fields: []kind.FieldError{
			{Field: "duration", Value: o.Duration.String(), Allowed: "at least " + minDuration.String()}}}
	}
	return d, nil
}

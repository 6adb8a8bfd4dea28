package shedding

import "github.com/goldcrestsail/goldcrestsail/admission"

// Verdict is the result of Table.Check.
type Verdict struct {
	// Refuse reports whether the request is to be refused with kind shed-early.
	Refuse bool
	// Service is the service that would refuse the request, and Level its admission
	// level. Service is empty when none would.
	Service string
	Level   admission.Rank
}

// Probe reports whether the request is let through although a service on its
// usual path is expected to refuse it.
func (v Verdict) Probe() bool { return !v.Refuse && v.Service != "" }

package replay

import (
	"strings"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Head is the first line of a trace.
type Head struct {
	Deployment     string   `json:"deployment"`
	Seed           uint64   `json:"seed"`
	DurationMS     int      `json:"duration_ms"`
	FailureDomains []string `json:"failure_domains"`
	// OneWayUS and ClientOneWayUS are latencies in microseconds: between
	// failure domains, and between clients and nodes.
	OneWayUS       int         `json:"one_way_us"`
	ClientOneWayUS int         `json:"client_one_way_us"`
	Services       []Service   `json:"services"`
	Operations     []Operation `json:"operations"`
	Client         Client      `json:"client"`
	// TriggerMS is the time in which the overload lasts, for goodput and
	// recovery; absent when the trace has no such time.
	TriggerMS [2]int `json:"trigger_ms"`
}

// Service is a service with its targets. Target i is in failure domain i
// modulo the number of domains.
type Service struct {
	Name        string `json:"name"`
	Targets     int    `json:"targets"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	ColdStartMS int    `json:"cold_start_ms"`
}

// Operation is a kind of request to a service.
type Operation struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	Class         string `json:"class"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	Importance    int    `json:"importance"`
	Important     bool   `json:"important,omitempty"`
	Retryable     bool   `json:"retryable,omitempty"`
	NonIdempotent bool   `json:"non_idempotent,omitempty"`
	// IssuedKey makes clients ask for a key before the first attempt.
	IssuedKey bool `json:"issued_key,omitempty"`
	// Crash makes every target that runs the operation die.
	Crash     bool `json:"crash,omitempty"`
	TimeoutMS int  `json:"timeout_ms"`
	// OwnMS is the mean of the service time without sub-calls.
	OwnMS float64 `json:"own_ms"`
	// Calls are the sub-calls, made one after the other.
	Calls []string `json:"calls,omitempty"`

	index int
}

// Client is the retry behaviour of clients.
type Client struct {
	Retries          int `json:"retries"`
	BackoffMS        int `json:"backoff_ms"`
	AttemptTimeoutMS int `json:"attempt_timeout_ms"`
}

func (h *Head) service(name string) *Service {
	for i := range h.Services {
		if h.Services[i].Name == name {
			return &h.Services[i]
		}
	}
	return nil
}

func (h *Head) operation(name string) *Operation {
	for i := range h.Operations {
		if h.Operations[i].Name == name {
			h.Operations[i].index = i
			return &h.Operations[i]
		}
	}
	return nil
}

// find returns the operation of a recorded request, or nil.
func (h *Head) find(service, method, path string) *Operation {
	path, _, _ = strings.Cut(path, "?")
	for i := range h.Operations {
		o := &h.Operations[i]
		m := policy.Match{Methods: []string{o.Method}, Path: o.Path}
		if o.Service == service && m.Matches(method, path) {
			return h.operation(o.Name)
		}
	}
	return nil
}

// class returns the policy class of the operation.
func (o *Operation) class() policy.Class {
	return policy.Class{
		Name: o.Class, Importance: o.Importance, Retryable: o.Retryable, NonIdempotent: o.NonIdempotent,
		Match: []policy.Match{{Methods: []string{o.Method}, Path: o.Path}}, Timeout: ms(o.TimeoutMS),
	}
}

// policyOf returns the policy of a service: its classes in the order of the
// operations, and the defaults.
func (h *Head) policyOf(s *Service) *policy.Policy {
	p := &policy.Policy{
		Name: policy.ServiceName{Customer: h.Deployment, Service: s.Name}, Revision: 1,
		Slots: s.Slots, Connections: s.Connections, ColdStart: ms(s.ColdStartMS),
		RetryAllowance: policy.DefaultRetryAllowance, RetryBudgetRatio: policy.DefaultRetryBudgetRatio,
	}
	for i := range h.Operations {
		if h.Operations[i].Service == s.Name {
			p.Classes = append(p.Classes, h.Operations[i].class())
		}
	}
	p.ApplyDefaults()
	return p
}

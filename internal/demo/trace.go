package demo

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/replay"
)

// recordedRequest is one client request of a run, without its repeats.
type recordedRequest struct {
	at    time.Duration
	class *loadClass
	key   string
}

// One-way network latencies written into the trace, as on loopback sockets.
const (
	oneWayMicros       = 50
	clientOneWayMicros = 100
)

// writeTrace writes the requests and faults of a run as a trace for the
// command replay, with its outcomes beside it.
func (o *Options) writeTrace(d *deployment, l *load, overload, end time.Duration) error {
	head := d.traceHead(o.Seed, o.Duration, overload, end)
	events := []replay.Event{{
		At: int(overload.Milliseconds()), Until: int(end.Milliseconds()), Service: d.slowedService, Fault: replay.FaultSlow, Factor: slowdownFactor,
	}}
	for _, r := range l.recorded {
		c := r.class
		events = append(events, replay.Event{
			At: int(r.at.Milliseconds()), Caller: "client", Service: c.service, Class: c.name, Method: c.method, Path: c.path,
			Key: r.key, DeadlineMS: int(c.timeout.Milliseconds()),
		})
	}
	slices.SortStableFunc(events, func(a, b replay.Event) int { return a.At - b.At })
	var trace bytes.Buffer
	encoder := json.NewEncoder(&trace)
	if err := encoder.Encode(head); err != nil {
		return err
	}
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	outcomes, err := json.MarshalIndent(traceOutcomes, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(strings.TrimSuffix(o.Record, ".jsonl")+".outcomes.json", append(outcomes, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(o.Record, trace.Bytes(), 0o644)
}

// traceOutcomes are the objectives that hold under any load.
var traceOutcomes = replay.Outcomes{
	Basis: "recorded from a run of the demo; the objectives that hold whatever the load is",
	Bounds: []replay.Bound{
		{Figure: "retries-per-request", Max: new(float64(retryAllowance))},
		{Figure: "duplicate-effects", Max: new(0.0)},
		{Figure: "wrong-answers", Max: new(0.0)},
		{Figure: "false-not-run", Max: new(0.0)},
		{Figure: "inversions", Max: new(0.0)},
	},
}

// traceHead describes the deployment and its clients in the terms of a trace.
func (d *deployment) traceHead(seed uint64, duration, overload, end time.Duration) *replay.Head {
	head := &replay.Head{
		Deployment: d.customer, Seed: seed, DurationMS: int(duration.Milliseconds()), FailureDomains: d.domains,
		OneWayUS: oneWayMicros, ClientOneWayUS: clientOneWayMicros,
		Client:    replay.Client{Retries: maxClientAttempts - 1, BackoffMS: int(clientBackoff.Milliseconds()), AttemptTimeoutMS: 1000},
		TriggerMS: [2]int{int(overload.Milliseconds()), int(end.Milliseconds())},
	}
	for i := range d.services {
		s := &d.services[i]
		head.Services = append(head.Services, replay.Service{
			Name: s.name, Targets: s.targets, Slots: s.slots, Connections: s.connections, ColdStartMS: int(coldStart.Milliseconds()),
		})
	}
	for i := range d.classes {
		head.Operations = append(head.Operations, d.clientOperation(&d.classes[i]))
	}
	for i := range d.services {
		for _, call := range d.services[i].calls {
			head.Operations = append(head.Operations, d.subOperation(call.Service, call.Path))
		}
	}
	return head
}

func (d *deployment) clientOperation(c *loadClass) replay.Operation {
	o := d.operation(c.service, c.method, c.path)
	o.Name, o.TimeoutMS = c.name, int(c.timeout.Milliseconds())
	return o
}

func (d *deployment) subOperation(service, path string) replay.Operation {
	name, _, _ := strings.Cut(service, ".")
	o := d.operation(name, "GET", path)
	o.Name = callName(service, path)
	return o
}

// operation describes a request to a service according to the service's policy.
func (d *deployment) operation(service, method, path string) replay.Operation {
	o := replay.Operation{Service: service, Method: method, Path: path}
	for i := range d.services {
		s := &d.services[i]
		if s.name != service {
			continue
		}
		o.OwnMS = float64(s.serviceTime.Microseconds()) / 1000
		for _, call := range s.calls {
			if strings.HasPrefix(path, call.PathPrefix) {
				o.Calls = append(o.Calls, callName(call.Service, call.Path))
			}
		}
		c := d.policy(s).Classify(method, path)
		o.Class, o.Importance, o.Important = c.Name, c.Importance, c.Importance <= 1
		o.Retryable, o.NonIdempotent, o.TimeoutMS = c.Retryable, c.NonIdempotent, int(c.Timeout.Milliseconds())
	}
	return o
}

// callName returns the operation name of a sub-call.
func callName(service, path string) string { return service + path }

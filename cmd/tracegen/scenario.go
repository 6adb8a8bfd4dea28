package main

import "github.com/goldcrestsail/goldcrestsail/internal/replay"

// scenario is one trace of a deployment.
type scenario struct {
	name       string
	seed       uint64
	durationMS int
	triggerMS  [2]int
	events     []replay.Event
	// change adapts the head.
	change func(*replay.Head)
	basis  string
	// goodput, recovery, crash and drain select the objectives beside those
	// that hold for every trace.
	goodput, recovery, crash, drain bool
}

// allowedBasis is the rule of internal/replay/allowed.go.
const allowedBasis = "What the slots allow: a request holds a slot of each service on its path for its own service time at that moment plus the time of its sub-calls and two hops inside a failure domain, without waiting; a service has its targets times their slots; at each moment the slots go to the operations by importance, each up to the requests that arrive, without repeats."

func (s *scenario) outcomes() replay.Outcomes {
	atLeast := func(figure string, v float64) replay.Bound { return replay.Bound{Figure: figure, Min: &v} }
	atMost := func(figure string, v float64) replay.Bound { return replay.Bound{Figure: figure, Max: &v} }
	o := replay.Outcomes{Basis: s.basis, Bounds: []replay.Bound{
		atLeast("important-answered", 0.995),
		atMost("retries-per-request", 2),
		atMost("duplicate-effects", 0),
		atMost("wrong-answers", 0),
		atMost("false-not-run", 0),
		atMost("inversions", 0),
	}}
	if s.goodput {
		o.Basis += " " + allowedBasis
		o.Bounds = append(o.Bounds, atLeast("goodput-of-allowed", 0.9))
	}
	if s.recovery {
		o.Bounds = append(o.Bounds, atMost("recovery-ms", 2000))
	}
	if s.crash {
		o.Bounds = append(o.Bounds, atMost("crashed-targets", 2))
	}
	if s.drain {
		o.Bounds = append(o.Bounds, atMost("work-after-drain", 0))
	}
	return o
}

// arrivals is demand at the usual mix.
func (d *deployment) arrivals(from, until int, rate float64) replay.Event {
	return replay.Event{At: from, Until: until, Arrivals: &rate, Mix: d.mix}
}

// scenarios returns the traces of a deployment.
func (d *deployment) scenarios() []scenario {
	slow := replay.Event{At: 5000, Until: 25000, Fault: replay.FaultSlow, Service: d.deep, Factor: 4}
	silent := replay.Event{At: 5000, Fault: replay.FaultSilent, Domain: d.silentDomain, Share: 0.5}
	failing := replay.Event{At: 3000, Until: 13000, Fault: replay.FaultLie, Service: d.edge, Target: 1}
	sluggish := replay.Event{At: 3000, Until: 13000, Fault: replay.FaultLie, Service: d.deep, Target: 2, Factor: 6}
	surge := []replay.Event{d.arrivals(0, 5000, d.base), d.arrivals(5000, 25000, 2*d.base), d.arrivals(25000, 32000, d.base)}
	with := func(list []replay.Event, more ...replay.Event) []replay.Event {
		return append(append([]replay.Event(nil), list...), more...)
	}
	crashing := []replay.Event{d.arrivals(0, 15000, d.base)}
	for at := 3000; at < 13000; at += 500 {
		crashing = append(crashing, d.recorded(at, d.crash, ""))
	}
	second := scenario{
		name: "h-surge-and-silence", seed: 8, durationMS: 32000, triggerMS: [2]int{5000, 25000}, recovery: true,
		events: with(surge, slow, silent),
		basis:  "As (a), and half of the connections of " + d.silentDomain + " go silent when it begins.",
	}
	if d.head.Deployment == "takstolshuset" {
		second.name, second.events = "h-surge-and-lies", with(surge, slow, failing, sluggish)
		second.basis = "As (a), and a target of " + d.edge + " and one of " + d.deep + " lie about their health from 3 s to 13 s."
	}
	return []scenario{
		{
			name: "a-slow-and-surge", seed: 1, durationMS: 32000, triggerMS: [2]int{5000, 25000}, goodput: true, recovery: true,
			events: with(surge, slow),
			basis:  d.deep + " takes four times as long from 5 s to 25 s while demand doubles and clients repeat every failure after 50 ms.",
		},
		{
			name: "b-three-times-capacity", seed: 2, durationMS: 20000, triggerMS: [2]int{3000, 13000}, goodput: true, recovery: true,
			events: []replay.Event{d.arrivals(0, 3000, d.base), d.arrivals(3000, 13000, 3*d.capacity), d.arrivals(13000, 20000, d.base)},
			basis:  "Demand is three times the capacity from 3 s to 13 s.",
		},
		{
			name: "c-log-down", seed: 3, durationMS: 15000,
			events: []replay.Event{
				d.arrivals(0, 15000, d.base), {At: 0, Until: 60000, Fault: replay.FaultLogDown},
				{At: 0, Until: 60000, Fault: replay.FaultLoseResponses, Share: 0.2},
			},
			change: func(h *replay.Head) {
				for i := range h.Operations {
					h.Operations[i].IssuedKey = h.Operations[i].NonIdempotent
				}
			},
			basis: "The log service is down for the whole trace. Clients ask for a key before the first attempt; a fifth of the responses to clients are lost, and the requests are sent again with the same key.",
		},
		{
			name: "d-crashing-request", seed: 4, durationMS: 18000, triggerMS: [2]int{3000, 13000}, crash: true, recovery: true,
			events: crashing,
			basis:  "A request that ends each target of " + d.edge + " that runs it is sent every 500 ms from 3 s to 13 s, each time with four repeats by its client.",
		},
		{
			name: "e-silent-connections", seed: 5, durationMS: 15000, triggerMS: [2]int{5000, 5001}, recovery: true,
			events: []replay.Event{d.arrivals(0, 15000, d.base), silent},
			basis:  "Half of the connections between " + d.silentDomain + " and the rest stop carrying data at 5 s; new connections work.",
		},
		{
			name: "f-drain-and-cold-start", seed: 6, durationMS: 18000, triggerMS: [2]int{5000, 10000}, drain: true, recovery: true,
			events: []replay.Event{
				d.arrivals(0, 18000, 1.2*d.base),
				{At: 5000, Until: 10000, Fault: replay.FaultDrain, Service: d.deep, Target: 0},
				{At: 4500, Fault: replay.FaultRestart, Service: d.deep, Target: 3, Factor: 4},
			},
			basis: "One target of " + d.deep + " starts cold at 4.5 s, another drains from 5 s and leaves at 10 s, at 1.2 times the usual demand.",
		},
		{
			name: "g-lying-health", seed: 7, durationMS: 18000, triggerMS: [2]int{3000, 13000}, recovery: true,
			events: []replay.Event{d.arrivals(0, 18000, d.base), failing, sluggish},
			basis:  "From 3 s to 13 s a target of " + d.edge + " answers every request with status 500 at once and a target of " + d.deep + " takes six times as long, while both report health and no load.",
		},
		second,
	}
}

// recorded is one request of an operation.
func (d *deployment) recorded(at int, name, key string) replay.Event {
	for _, o := range d.head.Operations {
		if o.Name == name {
			return replay.Event{
				At: at, Caller: "client-1", Service: o.Service, Class: o.Class, Method: o.Method,
				Path: "/imports/17", Key: key, DeadlineMS: o.TimeoutMS,
			}
		}
	}
	panic("no operation " + name)
}

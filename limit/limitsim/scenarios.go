package limitsim

import "time"

const ms = time.Millisecond

// Scenario is a named target.
type Scenario struct {
	Name   string
	Target Target
}

// Scenarios returns the rows of docs/measurements-limit.md.
func Scenarios() []Scenario {
	with := func(change func(*Target)) Target {
		f := Base()
		change(&f)
		return f
	}
	small := func(f *Target) {
		f.Slots, f.Rate, f.Service, f.Expected, f.Deadline = 10, Constant(300.0), Constant(50*ms), 50*ms, 400*ms
	}
	return []Scenario{
		{"a: slots as published", Base()},
		{"a: the same, exponential service times", with(func(f *Target) { f.Spread = 1 })},
		{"b: half of the slots, queues inside", with(func(f *Target) { f.Workers = Constant(25) })},
		{"b: the same, deadline 45 ms", with(func(f *Target) { f.Workers = Constant(25); f.Deadline = 45 * ms })},
		{"b: the same, contention inside", with(func(f *Target) { f.Workers = Constant(25); f.Contention = true })},
		{"b: half of the slots, refuses above", with(func(f *Target) { f.Workers = Constant(25); f.Bound = 25 })},
		{"b: half of 10 slots, 50 ms", with(func(f *Target) { small(f); f.Workers = Constant(5) })},
		{"c: 4 times slower for 10 s", with(func(f *Target) { f.Service = During(20*ms, 80*ms) })},
		{"c: the same, exponential service times", with(func(f *Target) {
			f.Service, f.Spread, f.Deadline = During(20*ms, 80*ms), 1, 500*ms
		})},
		{"d: 1/8 of the workers for 10 s", with(func(f *Target) { f.Workers = During(50, 6) })},
		{"d: the same, 150 slots", with(func(f *Target) {
			f.Slots, f.Workers, f.Rate = 150, During(150, 18), Constant(11250.0)
		})},
		{"d: 1/5 of 10 slots, 50 ms", with(func(f *Target) { small(f); f.Workers = During(10, 2) })},
		{"e: hangs for 10 s", with(func(f *Target) { f.Service, f.Cancels = During(20*ms, 3*time.Second), true })},
		{"h: refuses 30% at any load", with(func(f *Target) { f.Fault = 0.3 })},
	}
}

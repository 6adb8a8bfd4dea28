package limit

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var only = flag.String("only", "", "print the rows of this candidate only")

var measure = flag.Bool("measure", false, "print the table of docs/measurements-limit.md")

type scenario struct {
	name string
	f    fake
}

func scenarios() []scenario {
	with := func(change func(*fake)) fake {
		f := base()
		change(&f)
		return f
	}
	return []scenario{
		{"a: slots as published", base()},
		{"a: the same, exponential service times", with(func(f *fake) { f.spread = 1 })},
		{"b: half of the slots, queues inside", with(func(f *fake) { f.workers = constant(25) })},
		{"b: the same, deadline 45 ms", with(func(f *fake) { f.workers = constant(25); f.deadline = 45 * ms })},
		{"b: the same, contention inside", with(func(f *fake) { f.workers = constant(25); f.contention = true })},
		{"b: half of the slots, refuses above", with(func(f *fake) { f.workers = constant(25); f.bound = 25 })},
		{"c: 4 times slower for 10 s", with(func(f *fake) { f.service = during(20*ms, 80*ms) })},
		{"c: the same, exponential service times", with(func(f *fake) { f.service = during(20*ms, 80*ms); f.spread = 1; f.deadline = 500 * ms })},
		{"d: 1/8 of the workers for 10 s", with(func(f *fake) { f.workers = during(50, 6) })},
		{"d: the same, 150 slots", with(func(f *fake) {
			f.slots, f.workers, f.rate = 150, during(150, 18), constant(11250.0)
		})},
		{"b: half of 10 slots, 50 ms", with(func(f *fake) {
			f.slots, f.workers, f.rate, f.service, f.expected, f.deadline = 10, constant(5), constant(300.0), constant(50*ms), 50*ms, 400*ms
		})},
		{"d: 1/5 of 10 slots, 50 ms", with(func(f *fake) {
			f.slots, f.workers, f.rate, f.service, f.expected, f.deadline = 10, during(10, 2), constant(300.0), constant(50*ms), 50*ms, 400*ms
		})},
		{"e: hangs for 10 s", with(func(f *fake) { f.service = during(20*ms, 3*time.Second); f.cancels = true })},
		{"h: refuses 30% at any load", with(func(f *fake) { f.fault = 0.3 })},
	}
}

// TestMeasure prints how each candidate does in each scenario, with the same
// seeds.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure to print the table")
	}
	candidates := []struct {
		name string
		make func(slots int) rule
	}{
		{"plain", func(s int) rule { return plain{s} }},
		{"AIMD", func(s int) rule { return &aimd{slots: s, limit: float64(s)} }},
		{"gradient", func(s int) rule { return &gradient{slots: s, limit: float64(s)} }},
		{"trial", func(s int) rule { return New(Config{Slots: s, MinLimit: 2, ColdStart: time.Second}, epoch) }},
	}
	fmt.Println("| scenario | rule | goodput 10-20 s | 3-30 s | mean limit 10-20 s | p95 own latency | recovery |")
	fmt.Println("|---|---|---|---|---|---|---|")
	const seeds = 5
	for _, s := range scenarios() {
		for _, c := range candidates {
			if *only != "" && *only != c.name {
				continue
			}
			var phase, whole, mean float64
			var p95, recovery time.Duration
			for seed := range uint64(seeds) {
				r := s.f.run(c.make(s.f.slots), seed)
				_, m, _ := r.limit(slowFrom, slowTo)
				phase, whole, mean = phase+r.share(slowFrom, slowTo)/seeds, whole+r.share(3*time.Second, s.f.length)/seeds, mean+m/seeds
				p95 += r.p95() / seeds
				if got := r.recovery(); got < 0 || recovery < 0 {
					recovery = -1
				} else {
					recovery = max(recovery, got)
				}
			}
			fmt.Printf("| %s | %s | %.1f%% | %.1f%% | %.1f | %s | %s |\n", s.name, c.name, 100*phase, 100*whole, mean, p95.Round(100*time.Microsecond), recovery)
		}
	}
}

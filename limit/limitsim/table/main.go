// Command table prints how each rule that sets the concurrency limit does in
// each scenario, with the same seeds, as the table of
// docs/measurements-limit.md.
package main

import (
	"fmt"
	"time"

	"github.com/goldcrestsail/goldcrestsail/limit"
	"github.com/goldcrestsail/goldcrestsail/limit/limitsim"
)

const (
	seeds = 5
	// warmUp leaves out the cold start ramp of the trial rule.
	warmUp = 3 * time.Second
)

func main() {
	rules := []struct {
		name string
		make func(slots int) limitsim.Rule
	}{
		{"plain", func(s int) limitsim.Rule { return limitsim.Plain{Slots: s} }},
		{"AIMD", func(s int) limitsim.Rule { return limitsim.NewAIMD(s) }},
		{"gradient", func(s int) limitsim.Rule { return limitsim.NewGradient(s) }},
		{"trial", func(s int) limitsim.Rule {
			return limit.New(limit.Config{Slots: s, MinLimit: 2, ColdStart: time.Second}, limitsim.Epoch())
		}},
	}
	fmt.Println("| scenario | rule | goodput 10-20 s | goodput 3-30 s | mean limit 10-20 s | p95 of the target's time | longest recovery |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, s := range limitsim.Scenarios() {
		for _, rule := range rules {
			printRow(s, rule.name, rule.make)
		}
	}
}

func printRow(s limitsim.Scenario, name string, newRule func(int) limitsim.Rule) {
	var phase, whole, mean float64
	var p95, recovery time.Duration
	for seed := range uint64(seeds) {
		r := s.Target.Run(newRule(s.Target.Slots), seed)
		m, _ := r.Limit(limitsim.SlowFrom, limitsim.SlowTo)
		phase += r.Share(limitsim.SlowFrom, limitsim.SlowTo) / seeds
		whole += r.Share(warmUp, s.Target.Length) / seeds
		mean += m / seeds
		p95 += r.P95() / seeds
		if got := r.Recovery(); got < 0 || recovery < 0 {
			recovery = -1
		} else {
			recovery = max(recovery, got)
		}
	}
	shown := recovery.String()
	if recovery < 0 {
		shown = "never"
	}
	fmt.Printf("| %s | %s | %.1f%% | %.1f%% | %.1f | %s | %s |\n", s.Name, name, 100*phase, 100*whole, mean, p95.Round(100*time.Microsecond), shown)
}

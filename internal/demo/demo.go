package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// In the overload phase demand doubles and the service time of slowedService
// quadruples.
const (
	surgeFactor    = 2
	slowdownFactor = 4
)

// controlledName is the name of the run with the overload control layer.
const controlledName = "controlled"

// system is the deployment under test, with either nodes or naive proxies in
// front of its targets.
type system interface {
	// entryAddresses returns the addresses that clients send requests to.
	entryAddresses() []string
	targets() []*target.Target
	stop()
}

// Run runs the naive and then the controlled system under the same load and
// returns both results.
func Run(ctx context.Context, o Options) (*Report, error) {
	d, err := o.validate()
	if err != nil {
		return nil, err
	}
	report := &Report{Deployment: o.Deployment, Seed: o.Seed}
	for _, run := range []struct {
		name   string
		start  func(*deployment, *target.Ledger, uint64) (system, error)
		result **Result
	}{
		{"naive", startNaive, &report.Naive},
		{controlledName, startControlled, &report.Controlled},
	} {
		ledger := target.NewLedger()
		s, err := run.start(d, ledger, o.Seed)
		if err != nil {
			return nil, err
		}
		*run.result, err = o.runPhases(ctx, run.name, d, s, ledger)
		s.stop()
		if err != nil {
			return nil, err
		}
	}
	return report, nil
}

// runPhases runs the load against s through the steady, overload and after
// phases.
func (o *Options) runPhases(ctx context.Context, name string, d *deployment, s system, ledger *target.Ledger) (*Result, error) {
	overload := time.Duration(steadyShare * float64(o.Duration)).Round(windowLength)
	end := overload + time.Duration(overloadShare*float64(o.Duration)).Round(windowLength)
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	l := newLoad(d, s.entryAddresses(), ledger)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx, o.Seed)
	}()
	set := func(demand, slowdown float64) {
		l.demandMilli.Store(int64(demand * 1000))
		for i, t := range s.targets() {
			if d.serviceOf(i) == d.slowedService {
				t.SetSlowdown(slowdown)
			}
		}
	}
	time.AfterFunc(overload, func() { set(surgeFactor, slowdownFactor) })
	time.AfterFunc(end, func() { set(1, 1) })
	o.reportProgress(ctx, name, l, overload, end)
	<-done
	if parent := context.Cause(ctx); parent != context.DeadlineExceeded {
		return nil, parent
	}
	if o.Record != "" && name == controlledName {
		if err := o.writeTrace(d, l, overload, end); err != nil {
			return nil, err
		}
	}
	return l.result(overload, end, o.Duration), nil
}

func (o *Options) reportProgress(ctx context.Context, name string, l *load, overload, end time.Duration) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if o.Progress == nil {
			continue
		}
		at := time.Since(l.start)
		phase := "steady"
		if at > overload {
			phase = "overload"
		}
		if at > end {
			phase = "after"
		}
		o.Progress(fmt.Sprintf("%-10s %5.1fs  %-8s  goodput %6.0f/s", name, at.Seconds(), phase, l.goodput(at-time.Second, at)))
	}
}

// serviceOf returns the service of the i-th target of a deployment.
func (d *deployment) serviceOf(i int) string {
	for _, s := range d.services {
		if i < s.targets {
			return s.name
		}
		i -= s.targets
	}
	return ""
}

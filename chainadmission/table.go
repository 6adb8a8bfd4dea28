package chainadmission

import (
	"maps"
	"time"

	"github.com/goldcrestsail/goldcrestsail/pressure"
)

const (
	// maxCutoffAge is the age above which a cutoff is discarded. Cutoffs change every
	// 100 ms; an outdated one would refuse requests after an overload has ended.
	maxCutoffAge = time.Second
	// minRunsPerRequest is the mean number of runs at a service, per request of a
	// start, from which the service's cutoff applies to the start.
	minRunsPerRequest = 0.5
	// minSampleWeight is the weight of a new chain in the moving average of runs.
	// The first chains of a start weigh more: the n-th has weight 1/n until that
	// falls below minSampleWeight.
	minSampleWeight = 0.05
	// maxStarts bounds the memory for learned starts. Deployments have a few
	// hundred routes, most of them with one service.
	maxStarts = 4096
)

// Table holds the target cutoffs and the runs per start that are known to one
// node. It is not safe for concurrent use.
type Table struct {
	services map[string]map[string]cutoffReport
	starts   map[Start]*startStats
}

// cutoffReport is the cutoff of one target as of a time.
type cutoffReport struct {
	cutoff pressure.Cutoff
	at     time.Time
}

// startStats holds the mean runs that a request of one start causes.
type startStats struct {
	samples int
	// meanRuns is the mean number of runs per request, by service.
	meanRuns map[string]float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{services: map[string]map[string]cutoffReport{}, starts: map[Start]*startStats{}}
}

// Observe records the cutoff of a target as of the time at. A cutoff older than
// the recorded one is ignored.
func (t *Table) Observe(service, target string, cutoff pressure.Cutoff, at time.Time) {
	reports := t.services[service]
	if reports == nil {
		reports = map[string]cutoffReport{}
		t.services[service] = reports
	}
	if known, ok := reports[target]; ok && at.Before(known.at) {
		return
	}
	reports[target] = cutoffReport{cutoff, at}
}

// Cutoff returns the mean cutoff of the targets of a service and the age of the
// newest one. If all are older than maxCutoffAge, it returns the cutoff that admits all
// requests. The mean is used instead of the minimum because routing balances load
// across the targets: a single overloaded target does not limit the service.
func (t *Table) Cutoff(service string, now time.Time) (pressure.Cutoff, time.Duration) {
	sum, n, age := 0.0, 0, maxCutoffAge
	for target, r := range t.services[service] {
		if now.Sub(r.at) > maxCutoffAge {
			delete(t.services[service], target)
			continue
		}
		sum += float64(r.cutoff)
		n++
		age = min(age, now.Sub(r.at))
	}
	if n == 0 {
		return pressure.AdmitAll, maxCutoffAge
	}
	return pressure.Cutoff(sum / float64(n)), age
}

// Learn records the runs that one completed chain of a start caused, by service.
func (t *Table) Learn(start Start, runs map[string]float64) {
	c := t.startStats(start)
	if c == nil {
		return
	}
	c.samples++
	weight := max(minSampleWeight, 1/float64(c.samples))
	for service := range runs {
		if _, ok := c.meanRuns[service]; !ok {
			c.meanRuns[service] = 0
		}
	}
	for service, mean := range c.meanRuns {
		c.meanRuns[service] = mean + weight*(runs[service]-mean)
	}
}

// Retain drops the runs of all starts for which inForce is false. It is called when the
// routes change: otherwise the starts of a day would fill the table.
func (t *Table) Retain(inForce func(Start) bool) {
	maps.DeleteFunc(t.starts, func(s Start, _ *startStats) bool { return !inForce(s) })
}

// startStats returns the statistics of a start. It creates them if needed, and
// returns nil if maxStarts starts are known already.
func (t *Table) startStats(start Start) *startStats {
	c := t.starts[start]
	if c == nil && len(t.starts) < maxStarts {
		c = &startStats{meanRuns: map[string]float64{}}
		t.starts[start] = c
	}
	return c
}

// Runs returns the mean number of runs that a request of a start causes, by
// service. The caller must not modify the map.
func (t *Table) Runs(start Start) map[string]float64 {
	if c := t.starts[start]; c != nil {
		return c.meanRuns
	}
	return nil
}

// Check decides whether a request may start a chain. The position must be admitted by
// the cutoff of the service of the start and of each downstream service with at least
// minRunsPerRequest runs.
func (t *Table) Check(start Start, position float64, now time.Time) Verdict {
	if v := t.checkService(start.Service, position, now); v.Refuse {
		return v
	}
	for downstream, mean := range t.Runs(start) {
		if downstream == start.Service || mean < minRunsPerRequest {
			continue
		}
		if v := t.checkService(downstream, position, now); v.Refuse {
			return v
		}
	}
	return Verdict{Cutoff: pressure.AdmitAll}
}

func (t *Table) checkService(service string, position float64, now time.Time) Verdict {
	cutoff, age := t.Cutoff(service, now)
	return Verdict{Refuse: !cutoff.Admits(position), Service: service, Cutoff: cutoff, Age: age}
}

// Cutoffs returns the cutoff of every service that has a target cutoff no older
// than maxCutoffAge.
func (t *Table) Cutoffs(now time.Time) map[string]pressure.Cutoff {
	all := make(map[string]pressure.Cutoff, len(t.services))
	for service, reports := range t.services {
		cutoff, _ := t.Cutoff(service, now)
		if len(reports) > 0 {
			all[service] = cutoff
		}
	}
	return all
}

// AllRuns returns a copy of the mean number of runs, by route, service of the start and
// service of the runs.
func (t *Table) AllRuns() map[string]map[string]map[string]float64 {
	all := map[string]map[string]map[string]float64{}
	for start, c := range t.starts {
		if all[start.Route] == nil {
			all[start.Route] = map[string]map[string]float64{}
		}
		all[start.Route][start.Service] = maps.Clone(c.meanRuns)
	}
	return all
}

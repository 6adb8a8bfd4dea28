package chainadmission

import (
	"maps"
	"time"

	"github.com/goldcrestsail/goldcrestsail/pressure"
)

const (
	// maxAge is the age at which a cutoff is discarded. Cutoffs change every
	// 100 ms, and an old one would refuse requests after an overload has passed.
	maxAge = time.Second
	// usualRuns is the least number of runs at a service, per request of a route,
	// from which the service counts for the route.
	usualRuns = 0.5
	// learnWeight is the weight of one chain in the mean number of runs.
	learnWeight = 0.05
	// maxRoutes bounds the routes that are learned; a deployment has some
	// hundred.
	maxRoutes = 4096
)

// Table holds what one node knows. It is not safe for concurrent use.
type Table struct {
	services map[string]map[string]report
	routes   map[string]*chain
}

// report is the cutoff of one target.
type report struct {
	cutoff pressure.Cutoff
	at     time.Time
}

// chain is what the requests of one route cause.
type chain struct {
	learned int
	// runs is the mean number of runs at each service per request.
	runs map[string]float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{services: map[string]map[string]report{}, routes: map[string]*chain{}}
}

// Observe records the cutoff of a target as of the time at. An older report
// than the one that is known is ignored.
func (t *Table) Observe(service, target string, cutoff pressure.Cutoff, at time.Time) {
	reports := t.services[service]
	if reports == nil {
		reports = map[string]report{}
		t.services[service] = reports
	}
	if known, ok := reports[target]; ok && at.Before(known.at) {
		return
	}
	reports[target] = report{cutoff, at}
}

// Cutoff returns the mean cutoff of the targets of a service and the age of the
// newest report, or Open when none is recent. Routing evens out the load of the
// targets, so that one that is short of room does not stand for all.
func (t *Table) Cutoff(service string, now time.Time) (pressure.Cutoff, time.Duration) {
	sum, n, age := 0.0, 0, maxAge
	for target, r := range t.services[service] {
		if now.Sub(r.at) > maxAge {
			delete(t.services[service], target)
			continue
		}
		sum += float64(r.cutoff)
		n++
		age = min(age, now.Sub(r.at))
	}
	if n == 0 {
		return pressure.AdmitAll, maxAge
	}
	return pressure.Cutoff(sum / float64(n)), age
}

// Learn records the runs that one complete chain of a route caused by service.
func (t *Table) Learn(route string, runs map[string]float64) {
	c := t.chain(route)
	if c == nil {
		return
	}
	c.learned++
	weight := max(learnWeight, 1/float64(c.learned))
	for service := range runs {
		if _, ok := c.runs[service]; !ok {
			c.runs[service] = 0
		}
	}
	for service, mean := range c.runs {
		c.runs[service] = mean + weight*(runs[service]-mean)
	}
}

// chain returns what is known of a route, or nil when there are too many.
func (t *Table) chain(route string) *chain {
	c := t.routes[route]
	if c == nil && len(t.routes) < maxRoutes {
		c = &chain{runs: map[string]float64{}}
		t.routes[route] = c
	}
	return c
}

// Runs returns the mean number of runs at each service that a request of a
// route causes. The caller must not change it.
func (t *Table) Runs(route string) map[string]float64 {
	if c := t.routes[route]; c != nil {
		return c.runs
	}
	return nil
}

// Check decides whether a request of a route to a service may start a chain.
func (t *Table) Check(route, service string, position float64, now time.Time) Verdict {
	if v := t.checkService(service, position, now); v.Refuse {
		return v
	}
	for below, mean := range t.Runs(route) {
		if below == service || mean < usualRuns {
			continue
		}
		if v := t.checkService(below, position, now); v.Refuse {
			return v
		}
	}
	return Verdict{Cutoff: pressure.AdmitAll}
}

func (t *Table) checkService(service string, position float64, now time.Time) Verdict {
	cutoff, age := t.Cutoff(service, now)
	return Verdict{Refuse: !cutoff.Admits(position), Service: service, Cutoff: cutoff, Age: age}
}

// Cutoffs returns the cutoff of every service with a recent report.
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

// AllRuns returns a copy of the mean number of runs at each service by route.
func (t *Table) AllRuns() map[string]map[string]float64 {
	all := make(map[string]map[string]float64, len(t.routes))
	for route, c := range t.routes {
		all[route] = maps.Clone(c.runs)
	}
	return all
}

package main

import (
	"slices"
	"strings"
	"time"
)

const (
	// crashInterval is the time between two times at which a crashing request comes, and
	// crashComes how often it does.
	crashInterval = 4 * time.Second
	crashComes    = 10
	// maxLateRetries is how many retries the rule allows to reach backends.
	maxLateRetries = 3
)

// thirdCrash returns when the third backend crashed.
func (d *deployment) thirdCrash() time.Time { return d.sortedCrashes()[2] }

// judgeCrashing counts the retries of the crashing request that have reached backends
// later than contactTime after the third crash; caller is the service of the machines
// that send it.
func (d *deployment) judgeCrashing(third time.Time, caller string) int {
	from := third.Add(contactTime)
	arrivals, requests := 0, map[string]bool{}
	for _, x := range d.allRuns() {
		if strings.HasPrefix(x.path, crashPrefix) && x.caller == caller && x.at.After(from) {
			arrivals++
			requests[x.id] = true
		}
	}
	r := d.record
	r.line("%d crashes; the third at %.3f; later than %.3f %d client attempts of the request have reached backends (%d arrivals); the rule allows %d",
		len(d.allCrashes()), r.since(third), r.since(from), len(requests), arrivals, maxLateRetries)
	if len(requests) > maxLateRetries {
		return broken
	}
	return held
}

// sortedCrashes returns when backends crashed, the earliest first.
func (d *deployment) sortedCrashes() []time.Time {
	all := d.allCrashes()
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// allCrashes returns when backends crashed, in no particular order.
func (d *deployment) allCrashes() (all []time.Time) {
	for _, m := range d.machines {
		m.backend.mu.Lock()
		all = append(all, m.backend.crashes...)
		m.backend.mu.Unlock()
	}
	return all
}

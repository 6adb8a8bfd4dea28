package mesh

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/routetable"
)

const (
	// splitLogInterval is the interval of the log lines about splits.
	splitLogInterval = 5 * time.Second
	// maxSplitLines bounds the lines of one interval.
	maxSplitLines = 100
)

// splitPart names one service of the split of a route.
type splitPart struct{ route, service string }

// versionedPart is a part under one version of the configuration.
type versionedPart struct {
	splitPart
	version uint64
	// weightShare is the share of the part by the weights of that version.
	weightShare float64
}

// splitOutcome counts the requests of one part.
type splitOutcome struct {
	// passedOn counts the requests that have reached a target or may have,
	// refused the others.
	passedOn, refused uint64
}

func (o splitOutcome) plus(passedOn bool) splitOutcome {
	if passedOn {
		o.passedOn++
	} else {
		o.refused++
	}
	return o
}

// splitCounts counts the requests of routes with a split, by part. It is safe
// for concurrent use.
type splitCounts struct {
	mu sync.Mutex
	// total holds parts of the configuration in force only, which bounds its size.
	total map[splitPart]splitOutcome
	// unlogged counts since the last lines; loggedAt is when these were taken.
	unlogged map[versionedPart]splitOutcome
	loggedAt time.Time
}

func newSplitCounts() *splitCounts {
	return &splitCounts{total: map[splitPart]splitOutcome{}, unlogged: map[versionedPart]splitOutcome{}}
}

// record counts a request of a route, which has been classified under a version of
// the configuration.
func (c *splitCounts) record(route *routetable.Route, service string, version uint64, passedOn bool) {
	if len(route.Clusters) < 2 {
		return
	}
	part := splitPart{route.Name, service}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total[part] = c.total[part].plus(passedOn)
	key := versionedPart{part, version, route.WeightShare(service)}
	if o, ok := c.unlogged[key]; ok || len(c.unlogged) < maxSplitLines {
		c.unlogged[key] = o.plus(passedOn)
	}
}

// retain drops the counts of what is no part of a split in a configuration.
func (c *splitCounts) retain(config *routetable.Config) {
	parts := map[splitPart]bool{}
	for i := range config.Routes {
		r := &config.Routes[i]
		for _, cluster := range r.Clusters {
			parts[splitPart{r.Name, cluster.Service}] = len(r.Clusters) > 1
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.total, func(p splitPart, _ splitOutcome) bool { return !parts[p] })
}

// takeUnlogged returns the counts since the last lines, or nil if splitLogInterval
// has not passed since.
func (c *splitCounts) takeUnlogged(now time.Time) map[versionedPart]splitOutcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.loggedAt) < splitLogInterval || len(c.unlogged) == 0 {
		return nil
	}
	taken := c.unlogged
	c.unlogged, c.loggedAt = map[versionedPart]splitOutcome{}, now
	return taken
}

// writeMetrics writes the counts in the format of Prometheus.
func (c *splitCounts) writeMetrics(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range slices.SortedFunc(maps.Keys(c.total), func(a, b splitPart) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.service, b.service))
	}) {
		const format = "goldcrestsail_split_requests_total{route=%q,service=%q,outcome=%q} %d\n"
		_, _ = fmt.Fprintf(w, format, p.route, p.service, "passed-on", c.total[p].passedOn)
		_, _ = fmt.Fprintf(w, format, p.route, p.service, "refused", c.total[p].refused)
	}
}

// logSplits logs how many requests of each part of a split were passed on and how
// many were refused since the last lines.
func (n *Node) logSplits(now time.Time) {
	for part, o := range n.splits.takeUnlogged(now) {
		n.log.Info("requests of a split", "route", part.route, "service", part.service, "config_version", part.version,
			"weight_share", part.weightShare, "passed_on", o.passedOn, "refused", o.refused)
	}
}

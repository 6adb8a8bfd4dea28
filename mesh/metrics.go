package mesh

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

// nodeMetrics are the metrics of one node. They are documented in
// docs/OPERATIONS.md; a test compares that list with the metrics served.
type nodeMetrics struct {
	set                                *metrics.Set
	shedEarly, retries, attempts       *metrics.Counter
	malformed, reportsIgnored          *metrics.Counter
	storeRestores                      *metrics.Counter
	targetEnds                         *metrics.Counter
	attemptTime, targetTime, queueTime *metrics.Histogram
}

func newNodeMetrics(n *Node) *nodeMetrics {
	set := metrics.NewSet()
	m := &nodeMetrics{
		set:            set,
		shedEarly:      set.NewCounter("goldcrestsail_chains_refused_total"),
		retries:        set.NewCounter("goldcrestsail_repeats_total"),
		attempts:       set.NewCounter("goldcrestsail_attempts_total"),
		malformed:      set.NewCounter("goldcrestsail_malformed_total"),
		reportsIgnored: set.NewCounter("goldcrestsail_reports_ignored_total"),
		storeRestores:  set.NewCounter("goldcrestsail_store_restores_total"),
		targetEnds:     set.NewCounter("goldcrestsail_target_ends_total"),
		attemptTime:    set.NewHistogram("goldcrestsail_hop_seconds"),
		targetTime:     set.NewHistogram("goldcrestsail_target_seconds"),
		queueTime:      set.NewHistogram("goldcrestsail_queue_seconds"),
	}
	set.RegisterMetricsWriter(n.splits.writeMetrics)
	gauge := func(name string, value func() float64) { set.NewGauge("goldcrestsail_"+name, value) }
	gauge("config_version", func() float64 { return float64(n.configuration.version()) })
	gauge("config_age_seconds", func() float64 { return n.configuration.age(time.Now()).Seconds() })
	gauge("requests_in_progress", func() float64 { return float64(n.inProgress.Load()) })
	gauge("caller_connections", func() float64 { return float64(n.callers.Connections()) })
	gauge("target_connections_opened", func() float64 { return float64(n.client.Dials()) })
	gauge("target_running", func() float64 { s, _ := n.gate.Stats(); return float64(s.Running) })
	gauge("target_waiting", func() float64 { s, _ := n.gate.Stats(); return float64(s.Waiting) })
	gauge("target_limit", func() float64 { s, _ := n.gate.Stats(); return float64(s.Limit) })
	gauge("target_announced_rate", func() float64 {
		if rate, limited := n.notice.limit(); limited {
			return rate
		}
		return -1
	})
	gauge("cutoff", func() float64 { return float64(n.gate.Cutoff()) })
	gauge("members", func() float64 { return float64(countPresent(n.gossip.Members())) })
	gauge("store_in_touch", func() float64 { return boolGauge(n.storeReachable.Load()) })
	gauge("store_timeline", func() float64 { newest, _ := n.timeline.current(); return float64(newest) })
	gauge("record_in_store", func() float64 { return boolGauge(n.recordCurrent()) })
	gauge("reads_store", func() float64 { return boolGauge(n.readsStore.Load()) })
	gauge("body_memory_bytes", func() float64 { return float64(n.bodyMemory.Used()) })
	gauge("body_memory_limit_bytes", func() float64 { return float64(n.bodyMemory.Limit()) })
	gauge("suspect_requests", func() float64 { return float64(n.countSuspects(quarantine.Suspect)) })
	gauge("quarantined_requests", func() float64 { return float64(n.countSuspects(quarantine.Quarantined)) })
	gauge("gossip_bytes_sent", func() float64 { return float64(n.gossip.Stats().BytesSent) })
	return m
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// registerBudgetGauges registers the gauges of a service's retry budget.
func (m *nodeMetrics) registerBudgetGauges(n *Node, service string) {
	m.set.GetOrCreateGauge(fmt.Sprintf("goldcrestsail_repeats_left{service=%q}", service), func() float64 { return n.budgets.serviceState(time.Now(), service).Tokens })
	m.set.GetOrCreateGauge(fmt.Sprintf("goldcrestsail_repeats_cutoff{service=%q}", service), func() float64 { return n.budgets.serviceState(time.Now(), service).Cutoff })
}

// recordRequest counts a caller's request by route, outcome and status.
// Requests that match no published route have an empty route label, so that
// callers cannot create metrics.
func (m *nodeMetrics) recordRequest(q *request, status int, failure *kind.Error, duration time.Duration) {
	route, root := "", "false"
	if q.route != nil {
		route = q.route.Name
	}
	if q.root {
		root = "true"
	}
	outcome := "answered"
	if failure != nil {
		outcome = string(failure.Kind)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("goldcrestsail_requests_total{route=%q,root=%q,outcome=%q,status=\"%d\"}", route, root, outcome, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("goldcrestsail_request_seconds{route=%q}", route)).Update(duration.Seconds())
}

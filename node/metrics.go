package node

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// nodeMetrics holds the metrics of one node. Each node has its own set, so
// that several nodes can run in one process.
type nodeMetrics struct {
	set        *metrics.Set
	requests   *metrics.Counter
	retries    *metrics.Counter
	mismatched *metrics.Counter
}

func newNodeMetrics(n *Node) *nodeMetrics {
	set := metrics.NewSet()
	m := &nodeMetrics{
		set:        set,
		requests:   set.NewCounter("goldcrestsail_requests_total"),
		retries:    set.NewCounter("goldcrestsail_retries_total"),
		mismatched: set.NewCounter("goldcrestsail_mismatched_responses_total"),
	}
	set.NewGauge("goldcrestsail_target_in_flight", func() float64 { s, _ := n.gate.Stats(); return float64(s.Running) })
	set.NewGauge("goldcrestsail_target_waiting", func() float64 { s, _ := n.gate.Stats(); return float64(s.Waiting) })
	set.NewGauge("goldcrestsail_target_limit", func() float64 { s, _ := n.gate.Stats(); return float64(s.Limit) })
	set.NewGauge("goldcrestsail_admission_level", func() float64 { s, _ := n.gate.Stats(); return float64(s.Level) })
	set.NewGauge("goldcrestsail_target_service_time_seconds", func() float64 { _, l := n.gate.Stats(); return l.ServiceTime.Seconds() })
	set.NewGauge("goldcrestsail_chains", func() float64 { return float64(n.chains.len()) })
	set.NewGauge("goldcrestsail_members", func() float64 { return float64(len(n.gossip.Members())) })
	set.NewGauge("goldcrestsail_config_offset", func() float64 { return float64(n.configState().Offset()) })
	return m
}

// recordTargetFailure counts a request that was refused or failed at the node of
// its target.
func (m *nodeMetrics) recordTargetFailure(k kind.Kind) {
	m.set.GetOrCreateCounter(`goldcrestsail_target_failures_total{kind="` + string(k) + `"}`).Inc()
}

// recordResponse counts a response of the entry node and records its latency.
func (m *nodeMetrics) recordResponse(q *request, failure *kind.Error, duration time.Duration) {
	result := "ok"
	if failure != nil {
		result = string(failure.Kind)
	}
	if q.class == nil {
		m.set.GetOrCreateCounter(`goldcrestsail_malformed_requests_total{kind="` + result + `"}`).Inc()
		return
	}
	// The label values come from the policy, so the number of series is bounded.
	labels := `{service="` + q.name.String() + `",class="` + q.class.Name + `",result="` + result + `"}`
	m.set.GetOrCreateCounter("goldcrestsail_responses_total" + labels).Inc()
	if failure == nil {
		m.set.GetOrCreateHistogram(`goldcrestsail_response_seconds{service="` + q.name.String() + `"}`).Update(duration.Seconds())
	}
}

func (m *nodeMetrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

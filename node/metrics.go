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
	entered    *metrics.Counter
	retries    *metrics.Counter
	mismatched *metrics.Counter
}

func newNodeMetrics(n *Node) *nodeMetrics {
	set := metrics.NewSet()
	m := &nodeMetrics{
		set:        set,
		entered:    set.NewCounter("goldcrestsail_requests_total"),
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

// refused counts a request that was refused or failed at its target's node.
func (m *nodeMetrics) refused(k kind.Kind) {
	m.set.GetOrCreateCounter(`goldcrestsail_target_failures_total{kind="` + string(k) + `"}`).Inc()
}

// answered counts a request that was answered at its entry node.
func (m *nodeMetrics) answered(q *request, failure *kind.Error, took time.Duration) {
	result := "ok"
	if failure != nil {
		result = string(failure.Kind)
	}
	if q.class == nil {
		m.set.GetOrCreateCounter(`goldcrestsail_malformed_requests_total{kind="` + result + `"}`).Inc()
		return
	}
	// Names come from the policy, so the number of series is bounded.
	labels := `{service="` + q.name.String() + `",class="` + q.class.Name + `",result="` + result + `"}`
	m.set.GetOrCreateCounter("goldcrestsail_responses_total" + labels).Inc()
	if failure == nil {
		m.set.GetOrCreateHistogram(`goldcrestsail_response_seconds{service="` + q.name.String() + `"}`).Update(took.Seconds())
	}
}

func (m *nodeMetrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/httpconn"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

const (
	// healthTimeout bounds a health check. The target is on the same instance.
	healthTimeout = 300 * time.Millisecond
	// healthInterval is the least interval between two health checks.
	healthInterval = 200 * time.Millisecond
)

// awaitConfirmation holds back a report that the target is ready until the target is
// confirmed; see registration.Confirmation. If held is false, the report is applied like
// any other. The error has kind starting: the target has to repeat the report.
func (n *Node) awaitConfirmation(r registration.Report) (held bool, err error) {
	held, repeats := n.target.observeUnconfirmed(time.Now(), r)
	if !held {
		return false, nil
	}
	n.logLimited("report of the target not confirmed yet", "target", r.TargetID, "born", r.StartedAtMs, "seq", r.Seq, "repeats", repeats)
	if !repeats {
		return true, kind.New(kind.Starting, "the first report after a start may be late and has to be repeated")
	}
	n.confirmTarget(time.Now())
	return true, nil
}

// confirmTarget asks the target for its health if that is due.
func (n *Node) confirmTarget(now time.Time) {
	service, pending := n.target.unconfirmedService()
	if !pending {
		return
	}
	path, known := n.healthPath(service)
	if !known {
		return
	}
	r, due := n.target.beginHealthCheck(now)
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
		defer cancel()
		answer, err := n.client.CheckHealth(ctx, path)
		health := healthOf(r, answer, err)
		latest, confirmed := n.target.recordHealth(r, health)
		n.log.Info("target asked for its health", "target", r.TargetID, "born", r.StartedAtMs, "seq", r.Seq, "health", health.String(),
			"status", answer.Status, "answered_by", answer.TargetID, "leaving", answer.Leaving, "error", err, "confirmed", confirmed)
		if confirmed {
			n.applyReport(context.Background(), latest)
		}
	}()
}

// healthPath returns the health path of a service; known is false without a
// configuration that contains the service.
func (n *Node) healthPath(service string) (path string, known bool) {
	table := n.configuration.current()
	if table == nil {
		return "", false
	}
	s := table.Service(service)
	if s == nil {
		return "", false
	}
	return s.HealthPath, true
}

// healthOf returns what the answer to a health check says about the process that sent r.
func healthOf(r registration.Report, answer httpconn.HealthAnswer, err error) registration.Health {
	switch {
	case err != nil || answer.NotRun:
		return registration.HealthUnknown
	case answer.TargetID != "" && answer.TargetID != r.TargetID, answer.Leaving, answer.Status == http.StatusServiceUnavailable:
		return registration.Unhealthy
	case answer.Status == http.StatusOK:
		return registration.Healthy
	}
	return registration.HealthUnknown
}

package mesh

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// requestLinesPerSecond limits the log lines about requests, per message. A
	// node of the design size forwards about 85 calls a second, so most of the
	// failures of a second are logged even under overload.
	requestLinesPerSecond = 100
	// answeredSampleInterval is the number of answered requests per log line. A node
	// begins to count at random: nodes with few requests each log their share too.
	answeredSampleInterval = 100
	// suppressedInterval is how often the number of suppressed lines is logged.
	suppressedInterval = time.Second
)

// logLimited logs an event of a request unless the rate limit of its message is
// reached.
func (n *Node) logLimited(text string, fields ...any) {
	if n.lineLimiter.Allow(time.Now(), text) {
		n.log.Info(text, fields...)
	}
}

// logSuppressed logs how many lines were suppressed.
func (n *Node) logSuppressed(now time.Time) {
	if now.Sub(n.suppressedLoggedAt) < suppressedInterval {
		return
	}
	n.suppressedLoggedAt = now
	for lineKind, lines := range n.lineLimiter.Suppressed() {
		n.log.Warn("log lines left out", "kind", lineKind, "lines", lines)
	}
}

// logRequest logs the end of a request: every failure, and one in
// answeredSampleInterval of the others.
func (n *Node) logRequest(q *request, r *message.Request, reply *message.Reply, failure *kind.Error, now time.Time) {
	if failure == nil && reply.Response.Status < 500 && n.answeredCount.Add(1)%answeredSampleInterval != 0 {
		return
	}
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	parent := ""
	if q.parent != nil {
		parent = q.parent.call.ID
	}
	fields := []any{"request_id", r.ID, "parent_id", parent, "route", route, "service", q.call.Service, "root", q.root, "caller", q.call.CallerService, "fingerprint", q.call.Fingerprint.String(),
		"importance", q.call.Importance, "chain_level", q.call.ChainLevel, "unsafe", q.call.Unsafe, "attempts", q.attempts,
		"config_version", q.version, "config_age_ms", n.configuration.age(now).Milliseconds(),
		"took_ms", now.Sub(r.Arrived).Milliseconds(), "left_ms", r.Deadline.Sub(now).Milliseconds()}
	switch {
	case failure != nil:
		n.logLimited("request failed", append(fields, "kind", failure.Kind, "run_state", failure.Run, "detail", failure.Detail, "not_repeated", q.notRetriedReason)...)
	case reply.Response.Status >= 500:
		n.logLimited("target failed a request", append(fields, "status", reply.Response.Status, "dependency_failed", reply.DependencyFailed, "not_repeated", q.notRetriedReason)...)
	default:
		n.logLimited("request answered", append(fields, "status", reply.Response.Status, "sample", answeredSampleInterval)...)
	}
}

// logFailedAttempt logs an attempt that did not return a response of the
// target.
func (n *Node) logFailedAttempt(call *message.Call, target string, ownTarget bool, failure *kind.Error, duration time.Duration) {
	n.logLimited("attempt failed", "request_id", call.ID, "service", call.Service, "target", target, "own_target", ownTarget, "caller", call.CallerService, "repeat", call.Repeat, "importance", call.Importance, "fingerprint", call.Fingerprint.String(),
		"kind", failure.Kind, "run_state", failure.Run, "detail", failure.Detail, "took_ms", duration.Milliseconds())
}

// logUnansweredCall logs, at the target's node, a call that the target did not
// answer, with the state that led to it.
func (n *Node) logUnansweredCall(call *message.Call, reply *message.Reply) {
	target := n.target.report(time.Now())
	n.logLimited("call not answered by the target", "request_id", call.ID, "caller", call.CallerService, "fingerprint", call.Fingerprint.String(), "importance", call.Importance, "chain_level", call.ChainLevel,
		"admitted", call.Admitted, "kind", reply.Failure.Kind, "run_state", reply.Failure.Run, "detail", reply.Failure.Detail,
		"running", reply.Load.Running, "waiting", reply.Load.Waiting, "limit", reply.Load.Limit, "cutoff", reply.Load.Cutoff,
		"target", target.TargetID, "target_state", target.State.String(), "target_seq", target.Seq)
}

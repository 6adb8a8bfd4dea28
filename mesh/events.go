package mesh

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// linesPerSecond bounds the lines of each kind about requests. A node of the
	// design size forwards some 85 calls a second; in an overload most of the
	// failures of a second still fit.
	linesPerSecond = 100
	// answeredSample is how many answered requests there are for each line.
	answeredSample = 100
	// suppressedInterval is how often the lines left out are counted in the log.
	suppressedInterval = time.Second
)

// event writes a line about a request, as far as the rate of its kind allows.
func (n *Node) event(message string, fields ...any) {
	if n.lines.Allow(time.Now(), message) {
		n.log.Info(message, fields...)
	}
}

// logSuppressed counts the lines that were left out.
func (n *Node) logSuppressed(now time.Time) {
	if now.Sub(n.suppressedLogged) < suppressedInterval {
		return
	}
	n.suppressedLogged = now
	for kind, lines := range n.lines.Suppressed() {
		n.log.Warn("log lines left out", "kind", kind, "lines", lines)
	}
}

// logRequest writes the line of a request's end: always for a failure, for one
// in answeredSample otherwise.
func (n *Node) logRequest(q *request, r *message.Request, reply *message.Reply, failure *kind.Error, now time.Time) {
	if failure == nil && reply.Response.Status < 500 && n.answered.Add(1)%answeredSample != 0 {
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
	fields := []any{"request_id", r.ID, "parent_id", parent, "route", route, "service", q.call.Service, "root", q.root,
		"importance", q.call.Importance, "chain_level", q.call.ChainLevel, "unsafe", q.call.Unsafe, "attempts", q.sent,
		"config_version", n.configuration.version(), "config_age_ms", n.configuration.age(now).Milliseconds(),
		"took_ms", now.Sub(r.Arrived).Milliseconds(), "left_ms", r.Deadline.Sub(now).Milliseconds()}
	switch {
	case failure != nil:
		n.event("request failed", append(fields, "kind", failure.Kind, "run_state", failure.Run, "detail", failure.Detail, "not_repeated", q.notRepeated)...)
	case reply.Response.Status >= 500:
		n.event("target failed a request", append(fields, "status", reply.Response.Status, "dependency_failed", reply.DependencyFailed, "not_repeated", q.notRepeated)...)
	default:
		n.event("request answered", append(fields, "status", reply.Response.Status, "sample", answeredSample)...)
	}
}

// logAttempt writes a line for an attempt that did not give the target's
// response.
func (n *Node) logAttempt(call *message.Call, target string, self bool, failure *kind.Error, took time.Duration) {
	n.event("attempt failed", "request_id", call.ID, "service", call.Service, "target", target, "own_target", self, "repeat", call.Repeat, "importance", call.Importance,
		"kind", failure.Kind, "run_state", failure.Run, "detail", failure.Detail, "took_ms", took.Milliseconds())
}

// logRefusal writes a line at the target's node about a call that the target did
// not answer, with the state that decided it.
func (n *Node) logRefusal(call *message.Call, reply *message.Reply) {
	target := n.target.current(time.Now())
	n.event("call not answered by the target", "request_id", call.ID, "importance", call.Importance, "chain_level", call.ChainLevel,
		"admitted", call.Admitted, "kind", reply.Failure.Kind, "run_state", reply.Failure.Run, "detail", reply.Failure.Detail,
		"running", reply.Load.Running, "waiting", reply.Load.Waiting, "limit", reply.Load.Limit, "cutoff", reply.Load.Cutoff,
		"target", target.TargetID, "target_state", target.State.String(), "target_seq", target.Seq)
}

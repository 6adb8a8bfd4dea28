package mesh

import (
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/pressure"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// observeCutoffs records the cutoffs that came with a reply. Downstream
// services that admit everything are omitted from a reply; their recorded
// cutoffs expire.
func (n *Node) observeCutoffs(service string, id routing.TargetID, reply *message.Reply, now time.Time) {
	if reply.Load == nil && len(reply.Cutoffs) == 0 {
		return
	}
	cutoff := pressure.AdmitAll
	if reply.Load != nil && !n.othersTakeMore(now, service, reply.Notice) {
		cutoff = pressure.Cutoff(reply.Load.Cutoff)
	}
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	if reply.Load != nil {
		n.chains.table.Observe(service, string(id), cutoff, now)
	}
	for _, c := range reply.Cutoffs {
		n.chains.table.Observe(c.Service, string(id), pressure.Cutoff(c.Cutoff), now.Add(-c.Age))
	}
}

// othersTakeMore reports whether a target has announced a limit and another one of its
// service has not, as far as this node knows. Then its cutoff says nothing about the
// service: what exceeds the limit goes to the others.
func (n *Node) othersTakeMore(now time.Time, service string, notice *message.TargetNotice) bool {
	if notice == nil || notice.RatePerSecond == 0 {
		return false
	}
	for id, address := range n.directory.ReadyTargets(now, service) {
		other := n.peerNotices.get(now, address)
		if id == n.selfID() {
			other = n.notice.message()
		}
		if other == nil || other.RatePerSecond == 0 {
			return true
		}
	}
	return false
}

// routingResult returns what a reply tells the target selection.
func routingResult(q *request, latency time.Duration, reply *message.Reply) routing.Result {
	result := routing.Result{Importance: int(q.call.Importance), Latency: latency}
	if reply.Failure != nil {
		result.Kind = reply.Failure.Kind
		if result.Kind == kind.DeadlineExpired && reply.Load != nil && reply.Failure.Run != kind.NotRun {
			// The target received the request, and its node reports that it did
			// not answer in time.
			result.Class = q.route.Name
		}
	}
	if reply.Response != nil {
		result.Responded, result.Status = true, reply.Response.Status
		if reply.DependencyFailed {
			result.Status = http.StatusOK
		} else {
			result.Class, result.OwnTime = q.route.Name, reply.OwnTime
		}
	}
	if load := reply.Load; load != nil {
		result.Responded = true
		result.Load = &routing.Load{
			InFlight: int(load.Running), Waiting: int(load.Waiting), Limit: int(load.Limit), ServiceTime: load.ServiceTime,
			Draining: reply.Failure != nil && reply.Failure.Kind == kind.Draining,
		}
		for _, count := range load.ByImportance {
			result.Load.ByImportance = append(result.Load.ByImportance, int(count))
		}
	}
	return result
}

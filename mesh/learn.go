package mesh

import (
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/pressure"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// observeCutoffs records the cutoffs that came with a reply. Open ones of the
// services below are not sent; theirs expire.
func (n *Node) observeCutoffs(service string, id routing.TargetID, reply *message.Reply, now time.Time) {
	if reply.Load == nil && len(reply.Cutoffs) == 0 {
		return
	}
	n.chains.mu.Lock()
	defer n.chains.mu.Unlock()
	if reply.Load != nil {
		n.chains.table.Observe(service, string(id), pressure.Cutoff(reply.Load.Cutoff), now)
	}
	for _, c := range reply.Cutoffs {
		n.chains.table.Observe(c.Service, string(id), pressure.Cutoff(c.Cutoff), now.Add(-c.Age))
	}
}

// resultOf returns what routing learns from a reply.
func resultOf(q *request, latency time.Duration, reply *message.Reply) routing.Result {
	result := routing.Result{Importance: int(q.call.Importance), Latency: latency}
	if reply.Failure != nil {
		result.Kind = reply.Failure.Kind
		if result.Kind == kind.DeadlineExpired && reply.Load != nil && reply.Failure.Run != kind.NotRun {
			// The target had the request, and its node says that it did not answer.
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

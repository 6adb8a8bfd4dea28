package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// router holds the routing tables of all services and the peer addresses of
// their nodes. It is safe for concurrent use.
type router struct {
	self          string
	failureDomain string
	mu            sync.Mutex
	rng           *rand.Rand
	tables        map[policy.ServiceName]*routing.Table
	endpoints     map[routing.TargetID]endpoint
}

// endpoint is where a target's node serves peers.
type endpoint struct {
	address string
	service policy.ServiceName
}

func newRouter(self, failureDomain string, rng *rand.Rand) *router {
	return &router{
		self: self, failureDomain: failureDomain, rng: rng,
		tables:    map[policy.ServiceName]*routing.Table{},
		endpoints: map[routing.TargetID]endpoint{},
	}
}

// update applies a membership change and returns the peer address of a member
// that is gone.
func (r *router) update(now time.Time, m membership.Member) (gone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := routing.TargetID(m.ID.String())
	service := policy.ServiceName{Customer: m.Meta.Customer, Service: m.Meta.Service}
	previous, known := r.endpoints[id]
	if known && (previous.service != service || !m.State.Present()) {
		r.removeLocked(now, id, previous.service)
		gone = previous.address
	}
	if !m.State.Present() || service.Service == "" {
		return gone
	}
	r.endpoints[id] = endpoint{m.Meta.PeerAddr.String(), service}
	r.tableLocked(service).Update(now, routing.Member{
		ID: id, FailureDomain: m.Meta.FailureDomain, State: routingState(m.Meta.TargetState), Slots: int(m.Meta.Slots),
	})
	return ""
}

// removeLocked forgets a target, and its service's table with the last one.
func (r *router) removeLocked(now time.Time, id routing.TargetID, service policy.ServiceName) {
	delete(r.endpoints, id)
	table := r.tables[service]
	table.Remove(now, id)
	if len(table.Snapshot(now)) == 0 {
		delete(r.tables, service)
	}
}

func (r *router) tableLocked(service policy.ServiceName) *routing.Table {
	t := r.tables[service]
	if t == nil {
		t = routing.NewTable(routing.Options{Node: r.self})
		r.tables[service] = t
	}
	return t
}

// pick chooses a target, records the start of a call to it and returns it with
// its node's peer address.
func (r *router) pick(now time.Time, service policy.ServiceName, in routing.PickInput) (routing.TargetID, string, *kind.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := r.tables[service]
	if table == nil {
		return "", "", kind.Newf(kind.NoTarget, "no target of %s is known", service)
	}
	in.FailureDomain = r.failureDomain
	id, err := table.Pick(r.rng, now, in)
	if err != nil {
		return "", "", kind.Of(err)
	}
	table.StartClass(now, id, in.Importance)
	return id, r.endpoints[id].address, nil
}

// done records the end of a call that pick started.
func (r *router) done(now time.Time, service policy.ServiceName, id routing.TargetID, result routing.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if table := r.tables[service]; table != nil {
		table.Done(now, id, result)
	}
}

// address returns the peer address of a target's node.
func (r *router) address(id routing.TargetID) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.endpoints[id]
	return e.address, ok
}

// snapshot returns the view of all services for a state dump.
func (r *router) snapshot(now time.Time) map[string][]routing.TargetStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string][]routing.TargetStatus, len(r.tables))
	for name, t := range r.tables {
		all[name.String()] = t.Snapshot(now)
	}
	return all
}

func routingState(s membership.TargetState) routing.State {
	switch s {
	case membership.Starting:
		return routing.Starting
	case membership.Ready:
		return routing.Ready
	case membership.Draining:
		return routing.Draining
	default:
		return routing.Down
	}
}

// resultOf returns what routing learns from a response or error.
func resultOf(importance int, latency time.Duration, response *peerrpc.CallResponse, failure *kind.Error) routing.Result {
	result := routing.Result{Importance: importance, Latency: latency}
	if failure != nil {
		result.Kind = failure.Kind
	}
	if response == nil {
		return result
	}
	result.Responded, result.Status = true, int(response.Status)
	if load := response.Load; load != nil {
		result.Load = &routing.Load{
			InFlight: int(load.InFlight), Waiting: int(load.Waiting), Limit: int(load.Limit), Draining: load.Draining,
			ServiceTime: time.Duration(load.ServiceTimeMicros) * time.Microsecond,
		}
		for _, count := range load.ByImportance {
			result.Load.ByImportance = append(result.Load.ByImportance, int(count))
		}
	}
	return result
}

// ready returns the number of targets that may get new work.
func (r *router) ready(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, t := range r.tables {
		total += t.Usable(now)
	}
	return total
}

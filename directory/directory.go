// Package directory holds the targets of all services as seen by one node: their
// membership, the peer addresses of their nodes, and their routing state.
package directory

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// Directory holds the routing tables of all services and the peer addresses of
// their nodes. It is safe for concurrent use.
type Directory struct {
	options       routing.Options
	failureDomain string
	mu            sync.Mutex
	rng           *rand.Rand
	tables        map[string]*routing.Table
	endpoints     map[routing.TargetID]endpoint
}

// endpoint is the peer address of a target's node and the service of the target.
type endpoint struct {
	address string
	service string
}

// New returns an empty directory for a node in the given failure domain. The
// options apply to the routing table of each service.
func New(options routing.Options, failureDomain string, rng *rand.Rand) *Directory {
	return &Directory{
		options: options, failureDomain: failureDomain, rng: rng,
		tables:    map[string]*routing.Table{},
		endpoints: map[routing.TargetID]endpoint{},
	}
}

// Update applies a membership change. It returns the peer address of the member if
// its target was removed and not added again, otherwise "".
func (d *Directory) Update(now time.Time, m membership.Member) (removedAddress string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := routing.TargetID(m.ID.String())
	service := ServiceOf(m.Meta)
	previous, known := d.endpoints[id]
	if known && (previous.service != service || !m.State.Present()) {
		d.removeLocked(now, id, previous.service)
		removedAddress = previous.address
	}
	if !m.State.Present() || service == "" {
		return removedAddress
	}
	d.endpoints[id] = endpoint{m.Meta.PeerAddr.String(), service}
	d.tableLocked(service).Update(now, routing.Member{
		ID: id, FailureDomain: m.Meta.FailureDomain, State: routingState(m.Meta.TargetState), Slots: int(m.Meta.Slots),
	})
	return ""
}

// removeLocked removes a target, and the table of its service if it was the last.
func (d *Directory) removeLocked(now time.Time, id routing.TargetID, service string) {
	delete(d.endpoints, id)
	table := d.tables[service]
	table.Remove(now, id)
	if len(table.Snapshot(now)) == 0 {
		delete(d.tables, service)
	}
}

func (d *Directory) tableLocked(service string) *routing.Table {
	t := d.tables[service]
	if t == nil {
		t = routing.NewTable(d.options)
		d.tables[service] = t
	}
	return t
}

// Pick selects a target of a service, records the start of a call to it, and
// returns its ID and its node's peer address.
func (d *Directory) Pick(now time.Time, service string, in routing.PickInput) (routing.TargetID, string, *kind.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	table := d.tables[service]
	if table == nil {
		return "", "", kind.Newf(kind.NoTarget, "no target of %s is known", service)
	}
	in.FailureDomain = d.failureDomain
	id, err := table.Pick(d.rng, now, in)
	if err != nil {
		return "", "", kind.Of(err)
	}
	table.StartWithImportance(now, id, in.Importance)
	return id, d.endpoints[id].address, nil
}

// Done records the end of a call whose start Pick recorded.
func (d *Directory) Done(now time.Time, service string, id routing.TargetID, result routing.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if table := d.tables[service]; table != nil {
		table.Done(now, id, result)
	}
}

// Suspend excludes the targets whose node has the given peer address from selection
// until the given time. A target that is the only usable one of its service is
// not excluded.
func (d *Directory) Suspend(now time.Time, address string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.endpoints {
		if e.address == address {
			d.tables[e.service].Suspend(now, id, until)
		}
	}
}

// Address returns the peer address of a target's node.
func (d *Directory) Address(id routing.TargetID) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.endpoints[id]
	return e.address, ok
}

// ReadyTargets returns the IDs and the peer addresses of the ready targets of a
// service.
func (d *Directory) ReadyTargets(now time.Time, service string) map[routing.TargetID]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	ready := map[routing.TargetID]string{}
	if table := d.tables[service]; table != nil {
		for _, s := range table.Snapshot(now) {
			if s.State == routing.Ready {
				ready[s.ID] = d.endpoints[s.ID].address
			}
		}
	}
	return ready
}

// Snapshot returns the status of the targets of each service for a state dump.
func (d *Directory) Snapshot(now time.Time) map[string][]routing.TargetStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string][]routing.TargetStatus, len(d.tables))
	for name, t := range d.tables {
		all[name] = t.Snapshot(now)
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

// UsableTargets returns the number of targets, over all services, that may get new
// calls.
func (d *Directory) UsableTargets(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, t := range d.tables {
		total += t.Usable(now)
	}
	return total
}

// ServiceOf returns the name under which a member's target is registered, that is,
// its service and, if it has one, its customer, or "" if the target has not
// announced itself.
func ServiceOf(m membership.Meta) string {
	if m.Service == "" || m.Customer == "" {
		return m.Service
	}
	return m.Service + "." + m.Customer
}

package mesh

import (
	"context"
	"encoding/json"
	"time"

	"github.com/goldcrestsail/goldcrestsail/gate"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/registration"
)

const (
	// departureBroadcast marks the gossip broadcasts that carry departures.
	departureBroadcast uint32 = 2
	// departureLife is how long peers remember a departure for a node that
	// restarts: longer than a target serves after it.
	departureLife = 2 * time.Minute
	// queueTimeout bounds the time that a request waits at the target's node.
	queueTimeout = 200 * time.Millisecond
	// usableShare is the part of the slots that is used: just under the load from
	// which targets have been seen to slow down.
	usableShare = 0.949
)

// ReportTarget applies what the target beside the node says of itself. A
// departure has been saved, if that was possible in time, when it returns. The
// error has kind malformed when the report names no target to use.
func (n *Node) ReportTarget(ctx context.Context, r registration.Report) error {
	now := time.Now()
	if r.Service != *n.service.Load() && !n.servicePublished(r.Service) {
		return kind.Newf(kind.Malformed, "service %q of the report is not published", r.Service)
	}
	before, after, news := n.target.observe(now, r)
	if !news {
		n.metrics.reportsIgnored.Inc()
		n.event("report of the target ignored", "target", r.TargetID, "born", r.StartedAtMs, "seq", r.Seq, "state", r.State.String(), "seq_known", before.Seq)
		return nil
	}
	if after.Service != *n.service.Load() {
		n.service.Store(&after.Service)
	}
	if before.State != after.State || before.TargetID != after.TargetID || before.StartedAtMs != after.StartedAtMs {
		n.log.Info("target state changed", "target", after.TargetID, "born", after.StartedAtMs, "seq", after.Seq,
			"state", after.State.String(), "before", before.State.String(), "slots", after.Slots, "cold_for", after.ColdStartRemaining.String())
		if after.State != registration.Ready {
			n.spreadDeparture(registration.Departure{TargetID: after.TargetID, StartedAtMs: after.StartedAtMs, Seq: after.Seq, State: after.State})
		}
	}
	n.refreshTarget(now)
	if before.State != after.State {
		n.saveDepartures(ctx)
	}
	return nil
}

// TargetLeft records and saves that a target says it is gone.
func (n *Node) TargetLeft(ctx context.Context, targetID string, born int64) {
	d := n.target.leave(targetID, born)
	n.log.Info("target left", "target", targetID, "born", d.StartedAtMs)
	n.spreadDeparture(d)
	n.refreshTarget(time.Now())
	n.saveDepartures(ctx)
}

// spreadDeparture tells the peers, who tell this node after a restart.
func (n *Node) spreadDeparture(d registration.Departure) {
	payload, err := json.Marshal(d)
	if err != nil {
		n.log.Error("departure not encoded", "target", d.TargetID, "error", err)
		return
	}
	n.gossip.Broadcast(membership.Broadcast{Kind: departureBroadcast, ID: d.TargetID, Payload: payload, Expiry: time.Now().Add(departureLife)})
}

// departureReceived applies a departure that a peer passes on.
func (n *Node) departureReceived(b membership.Broadcast) {
	var d registration.Departure
	if err := json.Unmarshal(b.Payload, &d); err != nil {
		n.log.Warn("unreadable departure of a peer", "id", b.ID, "error", err)
		return
	}
	n.target.remember(d)
	n.refreshTarget(time.Now())
}

// usableSlots returns how many slots of a target are used at once. Some targets
// slow down when nearly all of their slots are taken.
func usableSlots(slots int) int {
	return max(int(float64(slots)*usableShare), 1)
}

// refreshTarget brings the gate and the gossip in line with the target's state.
func (n *Node) refreshTarget(now time.Time) {
	r := n.target.current(now)
	if changed, started := n.target.changed(r); changed {
		usable := usableSlots(r.Slots)
		n.gate.Configure(now, gate.Config{Slots: usable, MinLimit: usable, QueueTimeout: queueTimeout})
		if started {
			n.gate.TargetStarted(now)
			n.client.CloseIdle()
		}
	}
	if meta := n.meta(); meta != n.gossip.Self().Meta {
		n.gossip.UpdateMeta(meta)
	}
}

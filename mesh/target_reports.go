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
	// departureBroadcastKind is the kind of gossip broadcasts that carry
	// departures.
	departureBroadcastKind uint32 = 2
	// departureTTL is how long peers keep a departure for a node that restarts.
	// It is longer than a target keeps serving after it.
	departureTTL = 2 * time.Minute
	// queueTimeout bounds the queueing time at the target's node.
	queueTimeout = 200 * time.Millisecond
	// usableSlotShare is the share of the slots that is used. It is just below
	// the load at which targets begin to slow down.
	usableSlotShare = 0.949
)

// ReportTarget applies a report of the local target. When it returns, a
// departure has been saved if the store answered in time. The error has kind
// malformed if the service of the report is not published, and kind starting if the
// target has to repeat the report.
func (n *Node) ReportTarget(ctx context.Context, r registration.Report) error {
	if r.Service != n.target.service() && !n.servicePublished(r.Service) {
		return kind.Newf(kind.Malformed, "service %q of the report is not published", r.Service)
	}
	if held, err := n.awaitConfirmation(r); held {
		return err
	}
	n.applyReport(ctx, r)
	return nil
}

// applyReport applies a report of the local target that needs no confirmation.
func (n *Node) applyReport(ctx context.Context, r registration.Report) {
	now := time.Now()
	before, after, accepted := n.target.applyReport(now, r)
	if !accepted {
		n.metrics.reportsIgnored.Inc()
		n.logLimited("report of the target ignored", "target", r.TargetID, "born", r.StartedAtMs, "seq", r.Seq, "state", r.State.String(), "seq_known", before.Seq)
		return
	}
	if before.Service != after.Service {
		n.serviceChanged(now, after.Service, "report")
	}
	n.noteNewProcess(before, after)
	if n.notice.forget(after) {
		n.applyTargetLimit(after, "report of a new process")
	}
	if before.State != after.State || before.TargetID != after.TargetID || before.StartedAtMs != after.StartedAtMs {
		n.log.Info("target state changed", "target", after.TargetID, "born", after.StartedAtMs, "seq", after.Seq,
			"state", after.State.String(), "before", before.State.String(), "slots", after.Slots, "cold_for", after.ColdStartRemaining.String())
		if after.State != registration.Ready {
			n.broadcastDeparture(registration.Departure{TargetID: after.TargetID, StartedAtMs: after.StartedAtMs, Seq: after.Seq, State: after.State})
		}
	}
	n.applyTargetState(now)
	if before.State != after.State && after.State != registration.Ready {
		n.saveDepartures(ctx)
	}
}

// serviceChanged handles the news that the target belongs to another service than the
// one before. What waits for the one before has not run, and goes to other targets.
func (n *Node) serviceChanged(now time.Time, service, source string) {
	running, waiting := n.gate.Reset(now)
	n.inFlight.detach()
	n.log.Info("service of the target changed", "service", service, "source", source, "at_earlier_target", running, "refused", waiting)
}

// TargetLeft records and saves the departure of a target.
func (n *Node) TargetLeft(ctx context.Context, targetID string, born int64) {
	d := n.target.recordLeave(targetID, born)
	n.log.Info("target left", "target", targetID, "born", d.StartedAtMs)
	n.broadcastDeparture(d)
	n.applyTargetState(time.Now())
	n.saveDepartures(ctx)
}

// broadcastDeparture sends a departure to the peers, which return it to this
// node after a restart.
func (n *Node) broadcastDeparture(d registration.Departure) {
	payload, err := json.Marshal(departureMessage{n.config.Name, d})
	if err != nil {
		n.log.Error("failed to encode departure", "target", d.TargetID, "error", err)
		return
	}
	n.gossip.Broadcast(membership.Broadcast{Kind: departureBroadcastKind, ID: d.TargetID, Payload: payload, Expiry: time.Now().Add(departureTTL)})
}

// receiveDeparture applies a departure that an earlier process of this instance has
// acknowledged. Those of the targets of other instances are not kept.
func (n *Node) receiveDeparture(b membership.Broadcast) {
	var m departureMessage
	if err := json.Unmarshal(b.Payload, &m); err != nil {
		n.log.Warn("failed to decode departure from peer", "id", b.ID, "error", err)
		return
	}
	if m.Instance != "" && m.Instance != n.config.Name {
		return
	}
	n.learnDepartures(m.Departure)
}

// learnDepartures applies departures that peers know, and plans a write of the record
// if one of them is new.
func (n *Node) learnDepartures(departures ...registration.Departure) {
	if n.target.addDepartures(departures...) {
		n.changeRecord()
	}
	n.applyTargetState(time.Now())
}

// usableSlots returns the number of slots that are used at once. Some targets
// slow down when nearly all of their slots are taken.
func usableSlots(slots int) int {
	return max(int(float64(slots)*usableSlotShare), 1)
}

// applyTargetState updates the gate and the gossip metadata to the current
// state of the target.
func (n *Node) applyTargetState(now time.Time) {
	r := n.target.report(now)
	if changed, started := n.target.updateGateInput(r); changed {
		usable := usableSlots(r.Slots)
		n.gate.Configure(now, gate.Config{Slots: usable, MinLimit: usable, QueueTimeout: queueTimeout})
		if started {
			n.gate.TargetStarted(now)
			n.client.CloseIdle()
		}
	}
	if meta := n.memberMeta(); meta != n.gossip.Self().Meta {
		n.gossip.UpdateMeta(meta)
	}
}

package node

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/gate"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/limit"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

const (
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// watchInterval is how often the node checks that the target still
	// announces itself and that its policy is in force.
	watchInterval = 250 * time.Millisecond
)

// targetSideHandler serves the target beside the node: announcements, and
// sub-calls, whose Host names a service.
func (n *Node) targetSideHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", n.serveAnnounce)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if serviceOfHost(r.Host) {
			n.serveSubCall(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	requestID := uuid.NewString()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnnouncementBytes))
	if err != nil {
		writeError(w, requestID, malformed("body", err.Error(), "a complete body"))
		return
	}
	var a Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		writeError(w, requestID, malformed("body", err.Error(), "an announcement in JSON"))
		return
	}
	if faults := a.Validate(); len(faults) > 0 {
		writeError(w, requestID, &kind.Error{Kind: kind.Malformed, Run: kind.NotRun, Fields: faults})
		return
	}
	n.announced(a)
	w.WriteHeader(http.StatusNoContent)
}

// announced applies what the target says about itself.
func (n *Node) announced(a Announcement) {
	now := time.Now()
	changed, started := n.target.announced(now, a)
	if !changed {
		return
	}
	n.applyPolicy()
	if started {
		n.gate.TargetStarted(now)
	}
	n.gate.ObserveReport(now, limit.Report{Healthy: true, Capacity: a.Capacity})
	n.gossip.UpdateMeta(n.meta())
	n.log.Info("target announced", "service", a.service().String(), "address", a.Address, "slots", a.Slots, "state", a.State)
}

// applyPolicy brings the gate and the guard in line with the policy of the
// target's service.
func (n *Node) applyPolicy() {
	a, _ := n.target.current()
	p := n.policyOf(a.service())
	if p == nil {
		return
	}
	n.applied.Store(p)
	slots := min(p.Slots, p.Connections)
	if a.Slots > 0 {
		slots = min(slots, a.Slots)
	}
	n.gate.Configure(time.Now(), gate.Config{Slots: slots, MinLimit: p.MinLimit, ColdStart: p.ColdStart, QueueTimeout: p.QueueTimeout})
	n.guards.ensure(p)
}

// ensurePolicy applies a policy that came into force a moment ago, so that no
// request meets the limits of an older one.
func (n *Node) ensurePolicy(p *policy.Policy) {
	if n.applied.Load() != p {
		n.applyPolicy()
	}
}

// watchTarget marks a target that stopped announcing itself as down, and lets
// the quarantine table publish what it has collected.
func (n *Node) watchTarget(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.quarantine.tick()
			if a := n.config.Announcement; a != nil {
				n.reannounce(*a)
				continue
			}
			if n.target.expire(time.Now()) {
				n.log.Warn("target stopped announcing itself")
				n.gossip.UpdateMeta(n.meta())
			}
		case <-ctx.Done():
			return
		}
	}
}

// reannounce announces a target from the settings again once it accepts
// connections after a crash.
func (n *Node) reannounce(a Announcement) {
	if _, state := n.target.current(); state != Down {
		return
	}
	conn, err := net.DialTimeout("tcp", a.Address, dialTimeout)
	if err != nil {
		return
	}
	conn.Close()
	n.announced(a)
}

// checkTargetAlive finds out after a broken connection whether the target's
// process is gone: its port then refuses connections.
func (n *Node) checkTargetAlive() bool {
	a, state := n.target.current()
	if state == Down {
		return false
	}
	conn, err := net.DialTimeout("tcp", a.Address, dialTimeout)
	if err == nil {
		conn.Close()
		return true
	}
	fingerprints, changed := n.target.markDown(time.Now())
	if !changed {
		return false
	}
	n.log.Warn("target is down", "address", a.Address, "error", err, "in_flight", len(fingerprints))
	n.gossip.UpdateMeta(n.meta())
	n.quarantine.crashed(fingerprints)
	return false
}

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
	// maxAnnouncementBytes limits the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// watchInterval is how often the node checks that the target still
	// announces itself, and publishes collected quarantine entries.
	watchInterval = 250 * time.Millisecond
)

// targetSideHandler serves the local target: its announcements, and its
// sub-calls, whose Host header names a service.
func (n *Node) targetSideHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", n.serveAnnounce)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isServiceHost(r.Host) {
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
	if fieldErrors := a.Validate(); len(fieldErrors) > 0 {
		writeError(w, requestID, &kind.Error{Kind: kind.Malformed, Run: kind.NotRun, Fields: fieldErrors})
		return
	}
	n.applyAnnouncement(a)
	w.WriteHeader(http.StatusNoContent)
}

// applyAnnouncement updates the gate, the claim guard and the gossip metadata
// from an announcement of the target.
func (n *Node) applyAnnouncement(a Announcement) {
	now := time.Now()
	changed, started := n.target.recordAnnouncement(now, a)
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

// applyPolicy configures the gate and the claim guard with the policy of the
// target's service.
func (n *Node) applyPolicy() {
	a, _ := n.target.current()
	p := n.policyOf(a.service())
	if p == nil {
		return
	}
	n.appliedPolicy.Store(p)
	slots := min(p.Slots, p.Connections)
	if a.Slots > 0 {
		slots = min(slots, a.Slots)
	}
	n.gate.Configure(time.Now(), gate.Config{Slots: slots, MinLimit: p.MinLimit, ColdStart: p.ColdStart, QueueTimeout: p.QueueTimeout})
	n.claimGuards.ensure(p)
}

// ensurePolicy applies p if it is not applied yet, so that no request is admitted
// under the limits of an older policy.
func (n *Node) ensurePolicy(p *policy.Policy) {
	if n.appliedPolicy.Load() != p {
		n.applyPolicy()
	}
}

// watchTarget marks a target that stopped announcing itself as down, and
// publishes collected quarantine entries.
func (n *Node) watchTarget(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.quarantine.guard.Tick()
			if a := n.config.Announcement; a != nil {
				n.reannounce(*a)
				continue
			}
			if n.target.expire(time.Now()) {
				n.log.Warn("target stopped announcing itself; marked as down")
				n.gossip.UpdateMeta(n.meta())
			}
		case <-ctx.Done():
			return
		}
	}
}

// reannounce registers a statically configured target again when it accepts
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
	n.applyAnnouncement(a)
}

// checkTargetAlive reports whether the target accepts connections after one was
// broken. If not, its process has exited: the target is marked as down and the
// crash is reported.
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
	n.quarantine.reportCrash(fingerprints)
	return false
}

package replay

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// reporting is how the load of a target reaches the nodes that call it.
type reporting int

const (
	// withResponses adds the load to every response, as the nodes do.
	withResponses reporting = iota
	// periodically sends it to all recent callers at a fixed interval.
	periodically
	// onCrossing sends it to all recent callers when it crosses a boundary.
	// Source: the informing rule of J. Yu, Y. Wang, K. Pei, S. Zhang, J. Li, "A
	// Load Balancing Mechanism for multiple SDN Controllers based on Load
	// Informing Strategy".
	onCrossing
)

const (
	reportInterval = 100 * time.Millisecond
	// callerMemory is how long a caller gets reports after its last call.
	callerMemory = time.Second
	// datagramOverhead is the size of the UDP and IP headers in bytes.
	datagramOverhead = 28
)

// boundaries are shares of the limit, closer together near the limit.
var boundaries = []float64{0.3, 0.5, 0.65, 0.78, 0.88, 0.94, 1, 1.06, 1.12, 1.25, 1.5, 2, 3, 5}

// reports sends the load reports of one node.
type reports struct {
	node    *node
	callers map[int]time.Time
	band    int
}

func newReports(n *node) *reports {
	r := &reports{node: n, callers: map[int]time.Time{}}
	if n.layer.reporting == periodically {
		r.tick()
	}
	return r
}

func (r *reports) tick() {
	r.send()
	r.node.w.after(reportInterval, r.tick)
}

// called notes a call, which may also cross a boundary.
func (r *reports) called(from *node) {
	_, known := r.callers[from.target.index]
	r.callers[from.target.index] = r.node.w.now
	if r.node.layer.reporting == onCrossing {
		r.check(!known)
	}
}

// withResponse returns the load to go with a response, or nil.
func (r *reports) withResponse(to *node) *routing.Load {
	switch r.node.layer.reporting {
	case onCrossing:
		r.check(false)
		return nil
	case periodically:
		return nil
	}
	load := r.node.load()
	r.node.layer.reported += reportBytes(&load)
	return &load
}

// check sends reports when the load is between other boundaries than before.
func (r *reports) check(always bool) {
	load := r.node.load()
	share := float64(load.InFlight+load.Waiting) / float64(max(1, load.Limit))
	band, _ := slices.BinarySearch(boundaries, share)
	if band != r.band || always {
		r.band = band
		r.send()
	}
}

// send reports the load to all recent callers.
func (r *reports) send() {
	n, w, load := r.node, r.node.w, r.node.load()
	for _, to := range n.layer.nodes {
		last, called := r.callers[to.target.index]
		if !called || w.now.Sub(last) > callerMemory {
			delete(r.callers, to.target.index)
			continue
		}
		n.layer.reported += datagramOverhead + reportBytes(&load)
		w.after(w.latency(n.target, to.target), func() {
			to.routes[n.target.service.Name].Report(w.now, routing.TargetID(n.target.id), load)
		})
	}
}

// reportBytes is the size of a report: the fields of peerrpc.Load and one byte
// for each importance up to the last in use.
func reportBytes(l *routing.Load) int {
	byImportance := len(l.ByImportance)
	for byImportance > 0 && l.ByImportance[byImportance-1] == 0 {
		byImportance--
	}
	return byImportance + proto.Size(&peerrpc.Load{
		InFlight: uint32(l.InFlight), Waiting: uint32(l.Waiting), Limit: uint32(l.Limit),
		Draining: l.Draining, ServiceTimeMicros: l.ServiceTime.Microseconds(),
	})
}

package cluster

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// Watch records when each process learns something about one member.
type Watch struct {
	cluster *Cluster
	id      uuid.UUID
	pred    func(membership.Member) bool
	start   time.Time
	seen    map[int]time.Duration
}

// Watch starts to record when processes report a member with this ID for which
// pred holds.
func (c *Cluster) Watch(id uuid.UUID, pred func(membership.Member) bool) *Watch {
	w := &Watch{cluster: c, id: id, pred: pred, start: c.Net.Now(), seen: make(map[int]time.Duration)}
	c.watches = append(c.watches, w)
	return w
}

func (w *Watch) see(by *Peer, m membership.Member) {
	if m.ID != w.id || !w.pred(m) {
		return
	}
	if _, ok := w.seen[by.Index]; !ok {
		w.seen[by.Index] = w.cluster.Net.Now().Sub(w.start)
	}
}

// Stop ends the recording.
func (w *Watch) Stop() {
	w.cluster.watches = slices.DeleteFunc(w.cluster.watches, func(o *Watch) bool { return o == w })
}

// Run runs until all running processes know, at most limit. It returns when 99%
// and when all of them knew, or a negative time if they did not, and stops.
func (w *Watch) Run(limit time.Duration) (most, all time.Duration) {
	end := w.cluster.Net.Now().Add(limit)
	for w.cluster.Net.Now().Before(end) && w.missing() > 0 {
		w.cluster.Net.Run(50 * time.Millisecond)
	}
	w.Stop()
	return w.Times()
}

func (w *Watch) missing() int {
	missing := 0
	for _, p := range w.cluster.Up() {
		if _, ok := w.seen[p.Index]; !ok && p.Node.Self().ID != w.id {
			missing++
		}
	}
	return missing
}

// Times returns when 99% and all of the running processes knew; a time is
// negative if they did not.
func (w *Watch) Times() (most, all time.Duration) {
	var times []time.Duration
	total := 0
	for _, p := range w.cluster.Up() {
		if p.Node.Self().ID == w.id {
			continue
		}
		total++
		if t, ok := w.seen[p.Index]; ok {
			times = append(times, t)
		}
	}
	slices.Sort(times)
	most, all = -1, -1
	if i := (total*99 + 99) / 100; i > 0 && i <= len(times) {
		most = times[i-1]
	}
	if len(times) == total && total > 0 {
		all = times[total-1]
	}
	return most, all
}

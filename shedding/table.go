package shedding

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

// Table holds the admission levels and usual paths known to one entry node.
//
// At any time there is one rank per service up to which Check lets requests
// through. A more important request is therefore never refused because of a
// service while a less important one with that service on its usual path is let
// through.
//
// A Table is not safe for concurrent use.
type Table struct {
	config   Config
	services map[string]*service
	targets  int
	paths    map[pathKey]*path
	chains   uint64
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	return &Table{config: config.withDefaults(), services: map[string]*service{}, paths: map[pathKey]*path{}}
}

// Observe records the admission level that a target of a service had at the time
// at: now for the target that responded, earlier for the levels of downstream
// services in the response. A level of 0, which carries no information, is
// ignored, and so is a level older than the recorded one. When MaxTargets levels
// are kept, expired ones are removed; if there are none, the new level is ignored.
func (t *Table) Observe(serviceName, target string, level admission.Rank, at time.Time) {
	if level == 0 {
		return
	}
	s := t.services[serviceName]
	if s != nil {
		if known := s.findTarget(target); known != nil {
			if !at.Before(known.at) {
				known.level, known.at = min(level, admission.MaxRank), at
			}
			return
		}
	}
	if t.targets >= t.config.MaxTargets {
		t.dropExpired(at)
		if t.targets >= t.config.MaxTargets {
			return
		}
		s = t.services[serviceName]
	}
	if s == nil {
		s = &service{}
		t.services[serviceName] = s
	}
	s.targets = append(s.targets, targetLevel{target, min(level, admission.MaxRank), at})
	t.targets++
}

// RemoveTarget removes a target that has left.
func (t *Table) RemoveTarget(serviceName, target string) {
	s := t.services[serviceName]
	if s == nil {
		return
	}
	before := len(s.targets)
	s.targets = slices.DeleteFunc(s.targets, func(l targetLevel) bool { return l.target == target })
	t.targets -= before - len(s.targets)
	if len(s.targets) == 0 {
		delete(t.services, serviceName)
	}
}

// Learn records the services that a completed chain visited. It must be called
// for complete responses only, since a chain that was refused on its way did not
// visit its whole path. When MaxPaths paths are kept, the least recently updated
// one is removed.
func (t *Table) Learn(entry, class string, visited []string) {
	t.chains++
	key := pathKey{entry, class}
	p := t.paths[key]
	if p == nil {
		if len(t.paths) >= t.config.MaxPaths {
			t.dropOldestPath()
		}
		p = &path{}
		t.paths[key] = p
	}
	p.lastChain = t.chains
	p.learn(visited)
}

// Check decides whether a request is refused at the entry node. At downstream
// services the chain counts as admitted, so its rank there is smaller than at the
// entry service.
func (t *Table) Check(r Request, now time.Time, rng *rand.Rand) Verdict {
	entry := admission.MakeRank(r.Importance, false, r.ChainLevel)
	verdict := t.checkService(r.Service, entry, now, rng, Verdict{})
	p := t.paths[pathKey{r.Service, r.Class}]
	if p == nil {
		return verdict
	}
	downstream := admission.MakeRank(r.Importance, true, r.ChainLevel)
	for _, s := range p.usual {
		if verdict.Refuse {
			break
		}
		if s != r.Service {
			verdict = t.checkService(s, downstream, now, rng, verdict)
		}
	}
	return verdict
}

// Level returns the level above which the service refuses requests, or 0 when no
// target of it has a level that is at most MaxAge old.
func (t *Table) Level(serviceName string, now time.Time) admission.Rank {
	if s := t.services[serviceName]; s != nil {
		return s.level(now, t.config.MaxAge)
	}
	return 0
}

// UsualPath returns the services on the usual path of a class at an entry service.
func (t *Table) UsualPath(entry, class string) []string {
	if p := t.paths[pathKey{entry, class}]; p != nil {
		return slices.Clone(p.usual)
	}
	return nil
}

// checkService returns the verdict for one service, or the current verdict if the
// service would not refuse the request.
func (t *Table) checkService(serviceName string, rank admission.Rank, now time.Time, rng *rand.Rand, current Verdict) Verdict {
	s := t.services[serviceName]
	if s == nil {
		return current
	}
	level := s.level(now, t.config.MaxAge)
	if !rank.RefusedAt(level) {
		return current
	}
	// A level is up to MaxAge old, and a service whose queue has emptied since then
	// serves less important requests. A protected request of the same importance as
	// the level is therefore left to the service's queue.
	if rank.Importance() < t.config.ProtectedImportances && rank.Importance() == level.Importance() {
		return current
	}
	return Verdict{Refuse: !s.probe.allow(now, rank, level, t.config.ProbeShare, rng), Service: serviceName, Level: level}
}

func (t *Table) dropExpired(now time.Time) {
	for serviceName, s := range t.services {
		t.targets -= s.dropBefore(now.Add(-t.config.MaxAge))
		if len(s.targets) == 0 {
			delete(t.services, serviceName)
		}
	}
}

func (t *Table) dropOldestPath() {
	var oldest pathKey
	oldestChain := t.chains
	for key, p := range t.paths {
		if p.lastChain < oldestChain {
			oldest, oldestChain = key, p.lastChain
		}
	}
	delete(t.paths, oldest)
}

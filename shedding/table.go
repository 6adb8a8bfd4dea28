package shedding

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

// Table holds the levels and paths that one entry node knows.
//
// At any moment the requests that Check lets through to a service are those up
// to one rank, so a more important request is never refused because of a
// service that a less important one, with that service on its usual path, may
// still enter.
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

// Observe records the admission level of a target of a service as of the time
// at: now for the target that answered, earlier for levels that came with the
// response from further down. A level of 0 carries no information and is
// ignored, and so is one that is older than what is known. When MaxTargets
// levels are kept, those that have expired make room; without any, the new one
// is ignored.
func (t *Table) Observe(name, target string, level admission.Rank, at time.Time) {
	if level == 0 {
		return
	}
	s := t.services[name]
	if s != nil {
		if known := s.find(target); known != nil {
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
		s = t.services[name]
	}
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	s.targets = append(s.targets, targetLevel{target, min(level, admission.MaxRank), at})
	t.targets++
}

// Forget removes a target that has left.
func (t *Table) Forget(name, target string) {
	s := t.services[name]
	if s == nil {
		return
	}
	before := len(s.targets)
	s.targets = slices.DeleteFunc(s.targets, func(l targetLevel) bool { return l.target == target })
	t.targets -= before - len(s.targets)
	if len(s.targets) == 0 {
		delete(t.services, name)
	}
}

// Learn records the services that a completed chain visited. Call it for
// complete responses only: a chain that was refused half-way did not show its
// whole path. When MaxPaths paths are kept, the one that was learned the
// longest ago makes room.
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
	p.learned = t.chains
	p.learn(visited)
}

// Check decides whether a request is refused at the entry. Further down the
// usual path the chain counts as admitted, so its rank there is smaller than at
// the entry service.
func (t *Table) Check(r Request, now time.Time, rng *rand.Rand) Verdict {
	entry := admission.MakeRank(r.Importance, false, r.ChainLevel)
	verdict := t.checkService(r.Service, entry, now, rng, Verdict{})
	p := t.paths[pathKey{r.Service, r.Class}]
	if p == nil {
		return verdict
	}
	below := admission.MakeRank(r.Importance, true, r.ChainLevel)
	for _, s := range p.usual {
		if verdict.Refuse {
			break
		}
		if s != r.Service {
			verdict = t.checkService(s, below, now, rng, verdict)
		}
	}
	return verdict
}

// Level returns the level above which the service refuses, or 0 when no target
// of it has a level that is recent enough.
func (t *Table) Level(name string, now time.Time) admission.Rank {
	if s := t.services[name]; s != nil {
		return s.level(now, t.config.MaxAge)
	}
	return 0
}

// Usual returns the services on the usual path of a class at an entry service.
func (t *Table) Usual(entry, class string) []string {
	if p := t.paths[pathKey{entry, class}]; p != nil {
		return slices.Clone(p.usual)
	}
	return nil
}

// checkService returns the verdict for one service, or the one so far when the
// service would not refuse.
func (t *Table) checkService(name string, rank admission.Rank, now time.Time, rng *rand.Rand, soFar Verdict) Verdict {
	s := t.services[name]
	if s == nil {
		return soFar
	}
	level := s.level(now, t.config.MaxAge)
	if !rank.RefusedAt(level) {
		return soFar
	}
	// A level is up to MaxAge old, and a service whose queue has emptied since
	// serves less important requests. Within its own importance a protected
	// request is left to the queue, which knows.
	if rank.Importance() < t.config.Protected && rank.Importance() == level.Importance() {
		return soFar
	}
	return Verdict{Refuse: !s.probe.pass(now, rank, level, t.config.ProbeShare, rng), Service: name, Level: level}
}

func (t *Table) dropExpired(now time.Time) {
	for name, s := range t.services {
		t.targets -= s.dropOlder(now.Add(-t.config.MaxAge))
		if len(s.targets) == 0 {
			delete(t.services, name)
		}
	}
}

func (t *Table) dropOldestPath() {
	var oldest pathKey
	learned := t.chains
	for key, p := range t.paths {
		if p.learned < learned {
			oldest, learned = key, p.learned
		}
	}
	delete(t.paths, oldest)
}

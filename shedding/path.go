package shedding

import "slices"

const (
	// usualPathThreshold is the share of chains that visit a service from which it
	// counts as on the usual path. Below it, early refusal would refuse more chains
	// that do not visit the service than it saves.
	usualPathThreshold = 0.5
	// minVisitShare is the share below which a service is removed from a path.
	minVisitShare = 0.01
	// pathDecayChains is the number of chains over which a share decays.
	pathDecayChains = 64
	// maxPathServices bounds the number of services kept per path. Chains are up to
	// 15 deep and may branch.
	maxPathServices = 64
)

// pathKey identifies the requests that share a usual path, by their entry service
// and class.
type pathKey struct{ service, class string }

// path holds, for each service, the share of chains that visit it.
type path struct {
	chains  int
	visited []visit
	// usual lists the services whose share is at least usualPathThreshold.
	usual []string
	// lastChain is the value of Table.chains at the last chain of this path.
	lastChain uint64
}

type visit struct {
	service string
	share   float64
}

// learn adds one chain. The first chains have more weight, so that the shares
// start as arithmetic means.
func (p *path) learn(visited []string) {
	p.chains = min(p.chains+1, pathDecayChains)
	weight := 1 / float64(p.chains)
	for i := range p.visited {
		v := &p.visited[i]
		seen := 0.0
		if slices.Contains(visited, v.service) {
			seen = 1
		}
		v.share += weight * (seen - v.share)
	}
	p.visited = slices.DeleteFunc(p.visited, func(v visit) bool { return v.share < minVisitShare })
	for _, s := range visited {
		if !slices.ContainsFunc(p.visited, func(v visit) bool { return v.service == s }) {
			p.add(visit{s, weight})
		}
	}
	p.usual = p.usual[:0]
	for _, v := range p.visited {
		if v.share >= usualPathThreshold {
			p.usual = append(p.usual, v.service)
		}
	}
}

// add adds a service. When maxPathServices are kept, it replaces the one with the
// smallest share, or is ignored if no share is smaller than its own.
func (p *path) add(v visit) {
	if len(p.visited) < maxPathServices {
		p.visited = append(p.visited, v)
		return
	}
	least := 0
	for i := range p.visited {
		if p.visited[i].share < p.visited[least].share {
			least = i
		}
	}
	if p.visited[least].share < v.share {
		p.visited[least] = v
	}
}

package shedding

import "slices"

const (
	// usualShare is the share of chains that visit a service from which it counts
	// as on the usual path. Below it, refusing would cost more chains that do not
	// visit the service than it saves.
	usualShare = 0.5
	// forgetShare is the share under which a service is dropped from a path.
	forgetShare = 0.01
	// pathMemory is the number of chains over which a share decays.
	pathMemory = 64
	// maxPathServices bounds the services remembered per path. Chains are up to
	// 15 deep and may branch.
	maxPathServices = 64
)

// pathKey names the requests that share a usual path.
type pathKey struct{ service, class string }

// path holds the share of chains that visit each service.
type path struct {
	chains  int
	visited []visit
	// usual lists the services whose share is at least usualShare.
	usual []string
	// learned is the table's count of chains at the last one of this path.
	learned uint64
}

type visit struct {
	service string
	share   float64
}

// learn adds one chain. The first chains count more, so that the shares start
// as plain means.
func (p *path) learn(visited []string) {
	p.chains = min(p.chains+1, pathMemory)
	weight := 1 / float64(p.chains)
	for i := range p.visited {
		v := &p.visited[i]
		seen := 0.0
		if slices.Contains(visited, v.service) {
			seen = 1
		}
		v.share += weight * (seen - v.share)
	}
	p.visited = slices.DeleteFunc(p.visited, func(v visit) bool { return v.share < forgetShare })
	for _, s := range visited {
		if !slices.ContainsFunc(p.visited, func(v visit) bool { return v.service == s }) {
			p.add(visit{s, weight})
		}
	}
	p.usual = p.usual[:0]
	for _, v := range p.visited {
		if v.share >= usualShare {
			p.usual = append(p.usual, v.service)
		}
	}
}

// add remembers a service, in place of the one with the smallest share when the
// bound is reached and that share is smaller.
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

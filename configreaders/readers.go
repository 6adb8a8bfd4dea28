package configreaders

import (
	"cmp"
	"slices"
)

const (
	// minReaders is the number of readers of a small failure domain. With four, the
	// loss of the store's connection of a third of all nodes leaves a domain without
	// a reader in one of 80 cases; gossip between the domains covers these.
	minReaders = 4
	// nodesPerReader bounds the followers of a reader, and with them what it sends.
	nodesPerReader = 8
)

// ReaderCount returns the number of readers among the given number of nodes.
func ReaderCount(nodes int) int {
	return min(nodes, max(minReaders, (nodes+nodesPerReader-1)/nodesPerReader))
}

// Readers returns the readers among the nodes of a failure domain: those with the
// smallest IDs. It sorts the nodes.
func Readers(nodes []Peer) []Peer {
	slices.SortFunc(nodes, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return nodes[:ReaderCount(len(nodes))]
}

package configreaders

import (
	"cmp"
	"slices"
	"time"
)

const (
	// turnInterval is the time in which one of all readers hears of the store. A read
	// that waits is not answered while nothing changes, so that a reader whose
	// connection has gone silent can't tell; a change begins the reads of all at the same
	// moment.
	turnInterval = 1200 * time.Millisecond
	// maxReadWait is how long the store holds a read at most.
	maxReadWait = 14 * time.Second
)

// ReadWait returns how long the store may hold the next read of a node. domains holds the
// present nodes of each failure domain, the node included. inStep reports that the reads
// of all nodes begin now, since the last ones have ended with a change: the readers then
// take turns in the order of their IDs, one in each turnInterval, and stay apart since all
// later waits are of one length: maxReadWait, or as many intervals as there are readers
// if these are few.
func ReadWait(self Peer, domains map[string][]Peer, inStep bool) time.Duration {
	var readers []Peer
	for _, nodes := range domains {
		readers = append(readers, Readers(slices.Clone(nodes))...)
	}
	slices.SortFunc(readers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	period := min(time.Duration(max(len(readers), 1))*turnInterval, maxReadWait)
	turn := slices.IndexFunc(readers, func(p Peer) bool { return p.ID == self.ID })
	if !inStep || turn < 0 {
		return period
	}
	return min(time.Duration(turn+1)*turnInterval, period)
}

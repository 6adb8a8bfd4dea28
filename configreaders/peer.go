package configreaders

// Peer is a node of the failure domain.
type Peer struct {
	// ID identifies one process start. Peers are ordered by it.
	ID string
	// Address accepts calls of other nodes.
	Address string
}

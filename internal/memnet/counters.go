package memnet

// Counters counts the datagrams of a Network.
type Counters struct {
	// Sent counts all datagrams, Lost those dropped by loss, a cut or a missing
	// host, and Delivered those handed to a host.
	Sent, Lost, Delivered uint64
}

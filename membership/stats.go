package membership

// Stats counts what a node has done since it started.
type Stats struct {
	// DatagramsSent and BytesSent count sends; bytes include
	// PacketOverheadBytes per datagram.
	DatagramsSent, BytesSent uint64
	// DatagramsReceived and BytesReceived count valid datagrams received from
	// members of the same cluster, with the same overhead.
	DatagramsReceived, BytesReceived uint64
	// Malformed counts datagrams dropped because their format was invalid or a
	// field was out of bounds, and local metadata updates rejected as invalid.
	Malformed uint64
	// OtherCluster counts datagrams dropped because they came from a cluster
	// with another name.
	OtherCluster uint64
	// MalformedBroadcasts counts broadcasts dropped because a field was out of
	// bounds.
	MalformedBroadcasts uint64
	// Probes and FailedProbes count finished probes.
	Probes, FailedProbes uint64
	// Suspicions counts suspicions raised by this node's own probes.
	Suspicions uint64
	// Deaths counts members that this node itself declared dead.
	Deaths uint64
	// Refutations counts updates about this node that it refuted.
	Refutations uint64
	// Deferred counts optional sends that were postponed or dropped because the
	// send budget was used up.
	Deferred uint64
	// Pauses counts gaps between steps that were treated as a pause of the
	// process.
	Pauses uint64
	// Evicted counts members and broadcasts removed or not added because a table
	// was full.
	Evicted uint64
}

package membership

// Stats counts what a node has done since it started.
type Stats struct {
	// DatagramsSent and BytesSent count sends; bytes include
	// PacketOverheadBytes per datagram.
	DatagramsSent, BytesSent uint64
	// DatagramsReceived and BytesReceived count well-formed datagrams alike.
	DatagramsReceived, BytesReceived uint64
	// Malformed counts datagrams dropped because they broke the format or a bound.
	Malformed uint64
	// OtherCluster counts datagrams dropped because of another cluster name.
	OtherCluster uint64
	// MalformedBroadcasts counts broadcasts dropped because they broke a bound.
	MalformedBroadcasts uint64
	// Probes and FailedProbes count finished probes.
	Probes, FailedProbes uint64
	// Suspicions counts suspicions that this node's own probes raised.
	Suspicions uint64
	// Deaths counts members that this node declared dead on its own.
	Deaths uint64
	// Refutations counts refutations of statements about this node.
	Refutations uint64
	// Deferred counts optional sends put off because the send budget was used up.
	Deferred uint64
	// Pauses counts gaps between steps that the node took for a pause of its process.
	Pauses uint64
	// Evicted counts members and broadcasts dropped to keep a table's bound.
	Evicted uint64
}

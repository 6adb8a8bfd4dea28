package mesh

// RecordStoreCall records the outcome of a call to the configuration store; err
// is nil if it succeeded. Each change of reachability is logged.
func (n *Node) RecordStoreCall(err error) {
	was := n.storeReachable.Swap(err == nil)
	switch {
	case err != nil && (was || !n.storeCalled.Swap(true)):
		n.log.Warn("store lost", "error", err, "config_version", n.configuration.version())
	case err == nil && !was && n.storeCalled.Swap(true):
		n.log.Info("store regained", "config_version", n.configuration.version())
	}
}

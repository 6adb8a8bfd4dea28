package mesh

// StoreAnswered records that the store that holds the configuration has answered
// a call, or the error if it has not. Each change is logged.
func (n *Node) StoreAnswered(err error) {
	was := n.storeInTouch.Swap(err == nil)
	switch {
	case err != nil && (was || !n.storeTried.Swap(true)):
		n.log.Warn("store lost", "error", err, "config_version", n.configuration.version())
	case err == nil && !was && n.storeTried.Swap(true):
		n.log.Info("store regained", "config_version", n.configuration.version())
	}
}

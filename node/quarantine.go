package node

import "github.com/goldcrestsail/goldcrestsail/membership"

// quarantineTable keeps requests away from targets that they would crash. It
// is safe for concurrent use.
type quarantineTable struct{ node *Node }

func newQuarantineTable(n *Node) *quarantineTable { return &quarantineTable{node: n} }

func (q *quarantineTable) crashed(fingerprints []uint64)   {}
func (q *quarantineTable) received(b membership.Broadcast) {}
func (q *quarantineTable) dump() any                       { return nil }

func (n *Node) isQuarantined(fingerprint uint64) bool { return false }
func (n *Node) isSuspect(fingerprint uint64) bool     { return false }
func (n *Node) completed(fingerprint uint64)          {}

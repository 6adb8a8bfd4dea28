// Package gossip runs a membership.Node on a UDP socket. It receives datagrams,
// schedules the node's ticks, executes its effects and notifies a Delegate of
// changes.
package gossip

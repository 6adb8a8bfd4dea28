// Package gossip runs a membership.Node on a UDP socket: it reads datagrams,
// keeps the timer, carries out the node's effects and reports changes to a
// Delegate.
package gossip

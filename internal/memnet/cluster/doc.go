// Package cluster runs many membership nodes on a memnet.Network in virtual
// time. Tests and cmd/measure share it.
package cluster

// Package peerlink carries calls between nodes: many at a time over one TCP
// connection for each pair of nodes, with cancellation, and with a probe that
// finds a connection that has gone silent.
//
// Messages are in the protobuf wire format, each behind its length in four
// bytes. A generated twirp client over HTTP/2 does the same work in package
// peerrpc; docs/platform.md compares the two.
package peerlink

// Package peerlink carries calls between nodes. It multiplexes them over one TCP
// connection for each pair of nodes, supports cancellation, and pings peers to
// detect connections that no longer deliver data.
//
// Each frame has a four-byte length prefix and carries a message in the protobuf
// wire format. Package peerrpc is the alternative with a generated twirp client
// over HTTP/2; docs/platform.md compares the two.
package peerlink

// Package httpconn implements the HTTP/1.1 server for callers and the HTTP/1.1
// client for the target on the same instance as the node.
//
// It does not use net/http's server and transport. The server no longer detects
// that a connection was closed once a pipelined request is buffered, and reads
// that request only after the previous one has ended. The transport retries
// requests by itself and matches an unexpected response to the next request.
// Messages are parsed by net/http.
package httpconn

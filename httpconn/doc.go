// Package httpconn implements the HTTP/1.1 server for callers and the HTTP/1.1
// client for the target on the node's own instance.
//
// Messages are parsed by net/http, and responses checked by internal/httphead where its
// parser accepts more than the protocol. Its server and transport are not used.
// That server does not detect a closed connection while a pipelined request is
// buffered, and reads the buffered request only after the previous one has ended.
// The transport retries requests on its own and matches an unexpected response to
// the next request.
package httpconn

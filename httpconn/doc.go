// Package httpconn speaks HTTP/1.1 with callers and with the target beside a
// node, on connections of its own.
//
// It does not use net/http's server and transport. The server stops watching a
// connection for its end once a pipelined request is buffered, and reads such a
// request only after the one before it has ended. The transport repeats
// requests by itself and takes an unexpected response for the next one. Parsing
// is net/http's.
package httpconn

// Package mesh runs the node of a deployment whose operators publish routes:
// requests find their service by host and path, what may be repeated follows
// from the route, and no key or chain token travels with a request.
//
// It shares the decisions with package node (admission, limit, shedding,
// routing, retry, membership) and differs in what callers and targets speak.
// The names of their wire format come from the caller of New.
package mesh

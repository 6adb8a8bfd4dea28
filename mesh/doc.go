// Package mesh implements the node for deployments that are configured by
// routes: requests are routed by host and path, the route determines what may
// be retried, and requests carry no idempotency key and no chain token.
//
// It shares the decision packages (admission, limit, shedding, routing, retry,
// membership) with package node and differs in the protocol that callers and
// targets use. The caller of New supplies the header names.
package mesh

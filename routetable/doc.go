// Package routetable holds the routes that operators publish: to which service
// a request is routed by host and path, and the timeouts, retries and limits
// that apply. It is pure.
package routetable

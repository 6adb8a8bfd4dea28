// Package chainadmission decides at the entry of a call chain whether the chain
// may start. A chain that a downstream service would refuse is refused at the
// entry, before any service has spent work on it. The package learns from
// completed chains which services the requests of a route call. It does no I/O
// and takes the time as an argument.
package chainadmission

// Package chain holds the table of the call chains that are running at a node's
// target. A target identifies its chain by a token. Everything that decides how a
// sub-call is treated, such as depth, path and retry allowance, is taken from the
// table and never from the target. The package does no I/O; the time and the
// tokens are arguments.
package chain

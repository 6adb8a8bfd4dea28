// Package chain holds the table of the call chains that run at a node's
// target. A target names its chain by a token; everything that decides how a
// sub-call is treated comes from the table and never from the target. The
// package is pure: time and tokens are arguments.
package chain

// Package message defines the requests and responses exchanged between callers,
// nodes and targets, independent of any wire format.
package message

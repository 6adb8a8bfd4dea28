// Package message holds requests and responses as they travel between callers,
// nodes and targets, without the names of any wire format.
package message

// Package admission holds the queue in front of one target: a strict priority
// queue under a concurrency limit, with a bounded length, bounded waiting times
// and an admission level that tells callers what would be refused. It is pure:
// time is an argument and every outcome is a Decision.
package admission

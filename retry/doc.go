// Package retry bounds the retries of a whole call chain with an allowance
// that is handed from hop to hop, and the retries of one service with a token
// bucket that first attempts fill. It is pure: time is an argument.
package retry

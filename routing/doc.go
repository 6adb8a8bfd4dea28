// Package routing selects a target of one service for each call. It does no I/O,
// starts no goroutines, and takes the time and random numbers from its caller.
//
// Selection is the power of two random choices (M. Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001). Subsets
// and designated targets use rendezvous hashing (D. Thaler, C. Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 6(1), 1998).
package routing

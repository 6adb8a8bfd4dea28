// Package membership is a pure implementation of the SWIM membership protocol
// (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", DSN 2002) with the Lifeguard refinements
// (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection", 2017) and anti-entropy by bucket digests.
//
// A Node performs no I/O, starts no goroutine and reads no clock. The caller
// provides the time, the events and the source of randomness, and executes the
// effects that Step returns. A Node is not safe for concurrent use.
package membership

// Package pressure derives from the queue of one target how much new work the
// start of a chain may send towards it. It is pure: time is an argument.
//
// Source of the principle: DAGOR (Zhou and others, "Overload Control for Scaling
// WeChat Microservices", SoCC 2018), which keeps a threshold on importance and
// moves it by shares of the observed load. DAGOR detects overload by queueing
// time and moves in fixed steps. Here the threshold is computed from the arrivals
// and the capacity: between a refusal at the start of a chain and its effect at
// the end of it lie several hundred milliseconds, in which steps by queueing time
// went on, so that the load swung between a long queue and idle slots.
package pressure

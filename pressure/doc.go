// Package pressure implements overload control: it computes from the arrivals,
// capacity and queue of a target which requests may start at the head of a chain,
// and which refused calls are retried. It does no I/O and takes the time as an
// argument.
//
// It follows DAGOR (H. Zhou et al., "Overload Control for Scaling WeChat
// Microservices", SoCC 2018), which adjusts an admission threshold on importance
// by shares of the observed load. DAGOR detects overload by queueing time and
// changes the threshold in fixed steps. Here the threshold is computed from the
// arrival rates and the capacity: a refusal at the head of a chain takes several
// hundred milliseconds to have an effect at its end, and in that time steps
// driven by queueing time overshot, so that the load oscillated between a long
// queue and idle slots.
package pressure

// Package pressure derives from the queue of one target how much new work the
// start of a chain may send towards it. It is pure: time is an argument.
//
// Source of the principle: DAGOR (Zhou and others, "Overload Control for Scaling
// WeChat Microservices", SoCC 2018). It detects overload by queueing time, keeps
// a threshold on importance, and moves the threshold by shares of the observed
// load. Unlike DAGOR's histogram of arrivals, the density kept here outlasts the
// time in which an importance is refused at the start of its chains and does not
// arrive.
package pressure

// Package shedding refuses requests at the entry node that a service on their
// usual path would refuse further down, so that no work is spent on them. It
// knows the admission levels of the services' targets from responses and the
// usual path of a class from completed chains. It is pure: time
// and randomness are arguments.
package shedding

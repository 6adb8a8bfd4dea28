// Package shedding refuses requests at the entry node that a downstream service
// on their usual path would refuse, so that no work is spent on them. It learns
// the admission levels of the services' targets from responses, and the usual
// path of a class from completed chains. It is pure: time and randomness are
// arguments.
package shedding

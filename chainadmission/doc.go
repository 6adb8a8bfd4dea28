// Package chainadmission decides at the start of a chain of calls whether the
// chain may begin: a chain whose calls a service further down would refuse is
// refused before it has cost anything. It learns which services the requests of
// a route cause work at. It is pure.
package chainadmission

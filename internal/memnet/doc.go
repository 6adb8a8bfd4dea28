// Package memnet is an in-memory datagram network in virtual time, for tests
// and measurements of protocols that are pure state machines. It loses, delays
// and cuts off datagrams, and freezes hosts. A run is a function of its seed.
package memnet

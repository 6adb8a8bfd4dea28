package memnet

import (
	"net/netip"
	"time"
)

// Host is a state machine attached to a Network.
type Host interface {
	// Deliver hands over a datagram that arrives at now.
	Deliver(now time.Time, from netip.AddrPort, datagram []byte)
	// Wake is called when the time that NextWake returned has come.
	Wake(now time.Time)
	// NextWake returns when Wake is next needed. It is asked after each
	// Deliver, Wake and Poke.
	NextWake() time.Time
}

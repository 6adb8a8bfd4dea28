package replay

import "time"

const (
	// pingFound and pingSpread bound the time after which a node's pings find
	// that a connection is silent: 1 to 2 s.
	pingFound  = time.Second
	pingSpread = time.Second
)

// link is the multiplexed connection from one node to another.
type link struct {
	silent bool
	// generation counts the connections; messages of a closed one are lost.
	generation int
	pending    []*peerCall
}

// goSilent stops the connection until the pings find out; then every call on it
// fails, and a new connection takes its place.
func (k *link) goSilent(w *world, found time.Duration) {
	k.silent = true
	w.after(found, func() {
		k.silent = false
		k.generation++
		lost := k.pending
		k.pending = nil
		for _, c := range lost {
			c.fail()
		}
	})
}

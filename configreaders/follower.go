package configreaders

import (
	"hash/fnv"
	"time"
)

const (
	// HoldTime is how long a reader holds the request of a follower while there is
	// no newer configuration.
	HoldTime = 700 * time.Millisecond
	// WatchTimeout is how long a follower waits for that response. The sum of this
	// and one call to the store stays well below the time in which a change has to
	// be in force.
	WatchTimeout = time.Second
	// maxTries is the number of readers that a follower asks, one after the other,
	// before it reads the store itself.
	maxTries = 3
)

// Follower decides step by step where one node gets the configuration from. It is
// not safe for concurrent use.
type Follower struct {
	self Peer
	// offset selects the reader, so that the followers of a domain spread over its
	// readers. It moves on when a reader fails.
	offset int
	tries  int
	// readNext is the reason for which the next step reads the store, or "".
	readNext Reason
}

// NewFollower returns the follower of a node that has just started.
func NewFollower(self Peer) *Follower {
	h := fnv.New32a()
	_, _ = h.Write([]byte(self.ID))
	return &Follower{self: self, offset: int(h.Sum32() & 0xffff)}
}

// Next returns the next step. others are the present nodes of the failure domain
// except this one; haveConfig reports whether a configuration is in force.
func (f *Follower) Next(others []Peer, haveConfig bool) Action {
	if !haveConfig {
		return Action{ReadStore: true, Reason: NoConfiguration}
	}
	readers := Readers(append([]Peer{f.self}, others...))
	for _, r := range readers {
		if r.ID == f.self.ID {
			return Action{ReadStore: true, Reason: IsReader}
		}
	}
	if f.readNext != "" {
		return Action{ReadStore: true, Reason: f.readNext}
	}
	return Action{Reader: readers[f.offset%len(readers)]}
}

// StoreRead records that the node has read the store, or has failed to.
func (f *Follower) StoreRead() { f.tries, f.readNext = 0, "" }

// Watched records the response of a reader: whether it confirmed that it reads the
// store, or gave a newer configuration.
func (f *Follower) Watched(confirmed bool) {
	if confirmed {
		f.tries = 0
		return
	}
	f.offset++
	if f.tries++; f.tries >= maxTries {
		f.readNext = NoReaderFresh
	}
}

// WatchFailed records that a reader could not be asked. silent reports that it did
// not respond within WatchTimeout, so that there is no time for another one.
func (f *Follower) WatchFailed(silent bool) {
	f.Watched(false)
	if silent {
		f.readNext = ReaderSilent
	}
}

package quarantine

// Effect is an output of a Table. Publish is the only one.
type Effect interface{ effect() }

// Publish requests that an entry be broadcast to all other nodes without delay.
type Publish struct{ Entry Entry }

func (Publish) effect() {}

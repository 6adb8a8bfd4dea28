package quarantine

// Effect is an output of a Table. Publish is the only one.
type Effect interface{ effect() }

// Publish asks for an entry to be sent to all other nodes at once.
type Publish struct{ Entry Entry }

func (Publish) effect() {}

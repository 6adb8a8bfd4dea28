package idempotency

// localState is the state of a localKey.
type localState uint8

const (
	// stateContending: it is undecided which process may execute the key;
	// nothing was written.
	stateContending localState = iota
	// stateGranted: a token was granted that has no permission to write yet.
	stateGranted
	// stateWritten: the token has permission to write.
	stateWritten
	// stateFinished: the target responded.
	stateFinished
	// stateResponseLost: the request was written and its outcome is unknown.
	stateResponseLost
)

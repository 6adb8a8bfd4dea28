package idempotency

// localState is the state of a key in the process that handles it.
type localState uint8

const (
	// stateContending: the key is not decided; nothing was written.
	stateContending localState = iota
	// stateHeld: a token was handed out and has no permission to write yet.
	stateHeld
	// stateWritten: the token has permission to write.
	stateWritten
	// stateFinished: the target has responded.
	stateFinished
	// stateLost: the request was written and its outcome is unknown.
	stateLost
)

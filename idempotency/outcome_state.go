package idempotency

// OutcomeState is what a process knows about one of its claims. The values
// are those of peerrpc.OutcomeResponse_State.
type OutcomeState int32

// The outcome states.
const (
	// OutcomeUnknown means that the process does not know the claim.
	OutcomeUnknown OutcomeState = 0
	OutcomeRunning OutcomeState = 1
	// OutcomeFinished comes with the stored response.
	OutcomeFinished OutcomeState = 2
	// OutcomeFinishedWithoutResponse means that the request ran and that its
	// response is no longer kept.
	OutcomeFinishedWithoutResponse OutcomeState = 3
	// OutcomeNotRun means that the request was not run and never will be under
	// this claim.
	OutcomeNotRun OutcomeState = 4
	// OutcomeMayHaveRun means that the request was written to the target and
	// that its response was lost.
	OutcomeMayHaveRun OutcomeState = 5
)

// String returns the name of the state.
func (s OutcomeState) String() string {
	switch s {
	case OutcomeRunning:
		return "running"
	case OutcomeFinished:
		return "finished"
	case OutcomeFinishedWithoutResponse:
		return "finished-without-response"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeMayHaveRun:
		return "may-have-run"
	}
	return "unknown"
}

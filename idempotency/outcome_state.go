package idempotency

// OutcomeState is what a process knows about the execution of one of its
// claims. The values are those of peerrpc.OutcomeResponse_State.
type OutcomeState int32

// The outcome states.
const (
	// OutcomeUnknown means that the process does not know the claim.
	OutcomeUnknown OutcomeState = 0
	OutcomeRunning OutcomeState = 1
	// OutcomeFinished means that the request ran; the response is included.
	OutcomeFinished OutcomeState = 2
	// OutcomeFinishedWithoutResponse means that the request ran and that its
	// response is no longer stored.
	OutcomeFinishedWithoutResponse OutcomeState = 3
	// OutcomeNotRun means that the request was not run and will never be run
	// under this claim.
	OutcomeNotRun OutcomeState = 4
	// OutcomeMayHaveRun means that the request was written to the target and
	// that its response was lost.
	OutcomeMayHaveRun OutcomeState = 5
)

// String implements fmt.Stringer.
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

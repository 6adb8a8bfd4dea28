package kind

// RunState tells whether a request was executed by a target.
type RunState string

// The run states. NotRun is reported only if it is certain.
const (
	NotRun     RunState = "not-run"
	Ran        RunState = "ran"
	MayHaveRun RunState = "may-have-run"
)

// Valid reports whether s is one of the defined run states.
func (s RunState) Valid() bool {
	return s == NotRun || s == Ran || s == MayHaveRun
}

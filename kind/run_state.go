package kind

// RunState says whether a request was executed by a target.
type RunState string

// The run states. NotRun is stated only where it is certain.
const (
	NotRun     RunState = "not-run"
	Ran        RunState = "ran"
	MayHaveRun RunState = "may-have-run"
)

// Valid reports whether s is one of the three run states.
func (s RunState) Valid() bool {
	return s == NotRun || s == Ran || s == MayHaveRun
}

package membership

// State is the state of a member as one node sees it.
type State uint8

// The states. At equal incarnation, a later one takes precedence.
const (
	Alive State = iota
	Suspect
	Dead
	// Left is the state of a member that announced its departure.
	Left
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Present reports whether a member in state s is part of the cluster. A suspect
// member is present until its suspicion times out.
func (s State) Present() bool { return s == Alive || s == Suspect }

package admission

import "time"

// Stats is the state of a queue for metrics and state dumps.
type Stats struct {
	Limit, Running, Waiting int
	Level                   Rank
	// Standing reports a standing queue, which serves the newest request of a rank
	// first.
	Standing bool
	// EmptySince is when the queue became empty or, while requests wait, when it
	// stopped being empty.
	EmptySince time.Time
}

package admission

import "time"

// Stats is the state of a queue for metrics and state dumps.
type Stats struct {
	Limit, Running, Waiting int
	Level                   Rank
	// Standing reports that the newest request of a rank is served first.
	Standing bool
	// EmptySince is when the queue last became empty or was last seen empty.
	EmptySince time.Time
}

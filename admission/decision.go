package admission

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Decision is the outcome for one request: it is admitted and may start now, or
// it is refused without having run.
type Decision struct {
	ID   ID
	Rank Rank
	// Refused is empty when the request is admitted. Otherwise it is Shed,
	// QueueTimeout or DeadlineExpired.
	Refused kind.Kind
	// Waited is the time since the request was offered.
	Waited time.Duration
}

// Admitted reports whether the request may start now.
func (d Decision) Admitted() bool { return d.Refused == "" }

// Err returns the error of a refused request, with run state not-run, or nil.
func (d Decision) Err() *kind.Error {
	if d.Admitted() {
		return nil
	}
	return kind.Newf(d.Refused, "refused after waiting %s", d.Waited).WithRun(kind.NotRun)
}

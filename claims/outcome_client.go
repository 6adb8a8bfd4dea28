package claims

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
)

// OutcomeClient queries the owner of a claim for its outcome by RPC.
type OutcomeClient interface {
	// QueryOutcome passes ref, unchanged, to Guard.Outcome of the guard for the
	// same service at the process owner. The owner may wait up to wait while the
	// request is running. An error means that the owner cannot be reached or is
	// not a member; it never counts as run state not-run.
	QueryOutcome(ctx context.Context, owner idempotency.ProcessID, ref []byte, wait time.Duration) (idempotency.Outcome, error)
}

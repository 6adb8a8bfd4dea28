package claims

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
)

// OutcomeAsker asks the owner of a claim for its outcome over RPC.
type OutcomeAsker interface {
	// AskOutcome sends ref, unchanged, to the Guard.Outcome of the process
	// owner for the guard's service. The owner may wait up to wait while the
	// request is running. An error means that the owner is not reachable or
	// not a member; it is never taken as "not run".
	AskOutcome(ctx context.Context, owner idempotency.ProcessID, ref []byte, wait time.Duration) (idempotency.Outcome, error)
}

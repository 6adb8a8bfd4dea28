package claims

import (
	"context"
	"time"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Guard makes sure that requests of the non-idempotent classes of one service
// take effect at most once per key. It is safe for concurrent use.
type Guard struct{}

// NewGuard returns a guard. Run must be running for client keys to be served;
// issued keys need only the guard. The error has kind settings-invalid.
func NewGuard(o Options) (*Guard, error) { return &Guard{}, nil }

// Run follows the claims stream until ctx ends. It returns after all work that
// it started has ended. A read error is retried.
func (g *Guard) Run(ctx context.Context) { <-ctx.Done() }

// Begin decides what to do with a request of a non-idempotent class.
// fingerprint identifies the request without its key; the same key with
// another fingerprint is refused. Begin waits while the same key is running,
// here or at another process, until ctx ends.
//
// The errors have these kinds: key-required, key-malformed, key-reused,
// claim-unavailable (all not run), key-expired, claim-lost, deadline-expired
// (may have run) and already-ran. Not run refers to this attempt: it was not
// sent to the target and never will be.
func (g *Guard) Begin(ctx context.Context, key string, fingerprint uint64) (Verdict, error) {
	return Verdict{}, kind.New(kind.ClaimUnavailable, "the guard is not running")
}

// Outcome serves a question of another process. ref is what that process sent
// through its OutcomeAsker, owner the process that it means. While the request
// is running, Outcome waits up to wait.
func (g *Guard) Outcome(ctx context.Context, ref []byte, owner idempotency.ProcessID, wait time.Duration) idempotency.Outcome {
	return idempotency.Outcome{}
}

// IssueKeys returns n keys bound to this process and for how long it
// remembers them. The error has kind malformed when n is not in
// 1..MaxIssueKeys.
func (g *Guard) IssueKeys(n int) (keys []string, valid time.Duration, err error) {
	return nil, 0, kind.New(kind.Malformed, "not implemented")
}

// Dump returns the state of the guard for operators.
func (g *Guard) Dump() idempotency.Dump { return idempotency.Dump{} }

// SetWindow changes the window when the policy changes. A longer window is
// honoured for a key only when the claims since the key's time are known.
func (g *Guard) SetWindow(window time.Duration) error { return nil }

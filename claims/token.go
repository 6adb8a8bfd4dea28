package claims

import (
	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Token permits one execution of a request. One of Finish, Release and Lost must be
// called to end it; later calls of any of them have no effect. Its methods are safe
// for concurrent use.
type Token struct {
	guard *Guard
	id    uint64
}

// MarkWritten must be called immediately before the first byte of the request is
// sent to the target. If it returns an error, nothing may be sent, and the token
// must still be ended with Release. The error has kind claim-unavailable and run
// state not-run: the token has ended already, or so much time has passed that
// another process may execute a request with the key.
func (t *Token) MarkWritten() error {
	if !t.guard.step(idempotency.Write{Token: t.id}) {
		return kind.New(kind.ClaimUnavailable, "the claim is no longer held").WithRun(kind.NotRun)
	}
	return nil
}

// Finish stores the response for repeats of the key and returns it to waiting ones.
// The guard retains response and does not modify it.
func (t *Token) Finish(response []byte) {
	t.guard.step(idempotency.Finish{Token: t.id, Response: response})
}

// Release ends the token of a request of which no byte was sent to the target and
// none will be. Another request with the key can then be executed.
func (t *Token) Release() { t.guard.step(idempotency.Release{Token: t.id}) }

// Lost ends the token of a request that was sent, at least in part, and whose
// outcome is unknown. Repeats of the key fail with run state may-have-run.
func (t *Token) Lost() { t.guard.step(idempotency.ResponseLost{Token: t.id}) }

package claims

import (
	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Token is the right to execute one request once. One of Finish, Release and
// Lost must be called; later calls of any of them have no effect. Its methods
// are safe for concurrent use.
type Token struct {
	guard *Guard
	id    uint64
}

// MarkWritten must be called immediately before the first byte of the request
// is sent to the target. When it returns an error nothing may be sent, and the
// token must still be ended with Release. The error has kind claim-unavailable
// and run state not-run: the token was ended before, or so much time has
// passed that another process may execute the key.
func (t *Token) MarkWritten() error {
	if !t.guard.step(idempotency.Write{Token: t.id}) {
		return kind.New(kind.ClaimUnavailable, "the claim is no longer held").WithRun(kind.NotRun)
	}
	return nil
}

// Finish stores the response for repeats of the key and hands it to waiting
// ones. The guard keeps response and does not change it.
func (t *Token) Finish(response []byte) {
	t.guard.step(idempotency.Finish{Token: t.id, Response: response})
}

// Release says that no byte of the request was sent to the target and that
// none will be. The key can then be executed again.
func (t *Token) Release() { t.guard.step(idempotency.Release{Token: t.id}) }

// Lost says that the request was sent, at least in part, and that its outcome
// is not known. Repeats of the key are answered with may-have-run.
func (t *Token) Lost() { t.guard.step(idempotency.ResponseLost{Token: t.id}) }

package claims

// Token is the right to execute one request once. One of Finish, Release and
// Lost must be called; later calls of any of them have no effect. Its methods
// are safe for concurrent use.
type Token struct{}

// MarkWritten must be called immediately before the first byte of the request
// is sent to the target. When it returns an error nothing may be sent. The
// error has kind claim-unavailable and run state not-run: the token was
// released, or so much time has passed that another process may hold the key.
func (t *Token) MarkWritten() error { return nil }

// Finish stores the response for repeats of the key and hands it to waiting
// ones. The guard keeps response and does not change it.
func (t *Token) Finish(response []byte) {}

// Release says that no byte of the request was sent to the target and that
// none will be. The key can then be executed again.
func (t *Token) Release() {}

// Lost says that the request was sent, at least in part, and that its outcome
// is not known. Repeats of the key are answered with may-have-run.
func (t *Token) Lost() {}

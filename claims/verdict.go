package claims

// Verdict is the answer to Begin when there is no error.
type Verdict struct {
	// Token is set when the request is to be executed. Exactly one of its
	// final methods must be called.
	Token *Token
	// Replayed is set when the request ran before; Response is what it gave.
	Replayed bool
	// Response belongs to the guard and must not be changed.
	Response []byte
}

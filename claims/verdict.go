package claims

// Verdict is the result of a successful Begin: execute the request, or replay a
// stored response.
type Verdict struct {
	// Token is set if the request is to be executed. It must be ended by Finish,
	// Release or Lost.
	Token *Token
	// Replayed reports that the request was executed before.
	Replayed bool
	// Response is the stored response of that execution. It belongs to the guard
	// and must not be modified.
	Response []byte
}

// Package kind defines the closed list of error kinds, the run states, and the
// mapping from each kind to the response that a caller gets.
package kind

// Kind identifies the reason why a request was answered by this system instead of
// a target.
type Kind string

// The closed list of kinds. Table has one row for each.
const (
	Malformed          Kind = "malformed"
	UnknownService     Kind = "unknown-service"
	KeyRequired        Kind = "key-required"
	KeyMalformed       Kind = "key-malformed"
	KeyReused          Kind = "key-reused"
	KeyExpired         Kind = "key-expired"
	Loop               Kind = "loop"
	TooDeep            Kind = "too-deep"
	TooLarge           Kind = "too-large"
	Shed               Kind = "shed"
	ShedEarly          Kind = "shed-early"
	QueueTimeout       Kind = "queue-timeout"
	RateLimited        Kind = "rate-limited"
	DeadlineExpired    Kind = "deadline-expired"
	NoTarget           Kind = "no-target"
	Draining           Kind = "draining"
	TargetRefused      Kind = "target-refused"
	Starting           Kind = "starting"
	DialFailed         Kind = "dial-failed"
	AllowanceExhausted Kind = "allowance-exhausted"
	ClaimUnavailable   Kind = "claim-unavailable"
	ClaimLost          Kind = "claim-lost"
	AlreadyRan         Kind = "already-ran"
	Quarantined        Kind = "quarantined"
	TargetCrashed      Kind = "target-crashed"
	AnswerTruncated    Kind = "answer-truncated"
	AnswerTooLarge     Kind = "answer-too-large"
	AnswerMismatched   Kind = "answer-mismatched"
	AnswerLate         Kind = "answer-late"
	PeerLost           Kind = "peer-lost"
	Canceled           Kind = "canceled"
	Internal           Kind = "internal"
	ConfigRejected     Kind = "config-rejected"
	SettingsInvalid    Kind = "settings-invalid"
	LogUnavailable     Kind = "log-unavailable"
)

package configlog

// Reason says why a record was rejected.
type Reason string

// The reasons for the outcome Rejected.
const (
	// StaleBase means that the change was made from a revision other than the
	// current one.
	StaleBase Reason = "stale-base"
	// UnknownSchema means that the record's schema is neither 1 nor 2.
	UnknownSchema Reason = "unknown-schema"
	// Malformed means that the record is not valid JSON, is too large, has
	// missing, unknown or mistyped fields, or is an invalid snapshot.
	Malformed Reason = "malformed"
	// InvalidPolicy means that the policy violates a rule of package policy.
	InvalidPolicy Reason = "invalid-policy"
	// NoSuchService means that a delete names a service without a policy.
	NoSuchService Reason = "no-such-service"
	// TooManyServices means that the state already holds MaxServices services.
	TooManyServices Reason = "too-many-services"
)

package configlog

// Reason says why a record was rejected.
type Reason string

// The reasons for Rejected.
const (
	// StaleBase means that the change was made from a revision other than the
	// current one.
	StaleBase Reason = "stale-base"
	// UnknownSchema means that the record's schema is neither 1 nor 2.
	UnknownSchema Reason = "unknown-schema"
	// Malformed means that the record has missing, unknown or mistyped fields.
	Malformed Reason = "malformed"
	// InvalidPolicy means that the policy would break a rule of package policy.
	InvalidPolicy Reason = "invalid-policy"
	// NoSuchService means that a delete names a service without a policy.
	NoSuchService Reason = "no-such-service"
	// TooManyServices means that the state already holds MaxServices.
	TooManyServices Reason = "too-many-services"
)

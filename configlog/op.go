package configlog

// Op is what a change does to the policy of its service.
type Op string

// The operations of a change.
const (
	// Put creates or replaces the policy.
	Put Op = "put"
	// Delete removes the policy. The service's revision is not reset, so a
	// later Put names the revision of the delete as its base.
	Delete Op = "delete"
)

package configlog

import "github.com/goldcrestsail/goldcrestsail/policy"

// service is the state of one service, including a deleted one.
type service struct {
	revision uint64
	// changed is the offset of the record that made the revision.
	changed uint64
	// policy is nil for a deleted service. It is never modified.
	policy *policy.Policy
}

package configlog

import "github.com/goldcrestsail/goldcrestsail/policy"

// serviceState is the state of one service, including a deleted one.
type serviceState struct {
	revision uint64
	// changedOffset is the offset of the record that created the revision.
	changedOffset uint64
	// policy is nil for a deleted service. It is never modified.
	policy *policy.Policy
}

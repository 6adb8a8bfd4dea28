package routing

import "time"

// PickInput is what Pick needs to know about one call.
type PickInput struct {
	// Exclude lists the targets already tried for this request.
	Exclude []TargetID
	// FailureDomain is the failure domain of the calling node; its targets are
	// preferred while load allows. Empty means no preference.
	FailureDomain string
	// Pinned names the only target that may run the request, such as the issuer
	// of its key. An ejection does not apply to it.
	Pinned TargetID
	// Designated selects the same target on every node by rendezvous hash, such
	// as the fingerprint of a suspect request. 0 means not designated. An
	// ejection, which is a local view, does not apply.
	Designated uint64
	// Subset is the number of targets to choose from; 0 means DefaultSubset.
	Subset int
	// Importance of the call; 0 is the most important. Work that is less
	// important does not delay the call and so does not count against a target.
	Importance int
	// Class names the calls that take about the same time, such as those of one
	// route. Targets that are too slow for calls of the class with the time Left
	// are avoided. Empty and 0 mean no bound.
	Class string
	Left  time.Duration
	// MayProbe allows the call to probe an ejected target. The caller sets it
	// for retryable requests only. It does not ask for retry allowance: the
	// calls at the end of a long chain have none left, and without them no
	// target there would be probed.
	MayProbe bool
}

package routing

import "time"

// PickInput describes one call to Pick.
type PickInput struct {
	// Exclude lists the targets already tried for this request.
	Exclude []TargetID
	// FailureDomain is the failure domain of the calling node; its targets are
	// preferred while load allows. Empty means no preference.
	FailureDomain string
	// Pinned is the only target that may run the request, such as the issuer of its
	// key. It is selected even if it is ejected.
	Pinned TargetID
	// Designated is a hash, such as the fingerprint of a suspect request, that
	// selects the same target on every node by rendezvous hashing; 0 means none.
	// Ejections are local to a node and therefore ignored.
	Designated uint64
	// SubsetSize is the number of targets to choose from; 0 means
	// DefaultSubsetSize.
	SubsetSize int
	// Importance is the importance of the call; 0 is the highest. Less important
	// requests do not delay the call and do not add to a target's cost.
	Importance int
	// Class names a group of calls with similar response times, such as one route.
	// Targets unlikely to answer a call of the class within TimeLeft are avoided. An
	// empty Class or a TimeLeft of 0 disables this.
	Class    string
	TimeLeft time.Duration
	// MayProbe allows the call to probe an ejected target. The caller sets it for
	// retryable requests only, whether or not they have retry allowance left: calls
	// at the end of a long chain have none, and targets that only they reach would
	// never be probed.
	MayProbe bool
}

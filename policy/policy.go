package policy

import "time"

// Policy is the accepted configuration of one service.
type Policy struct {
	Name ServiceName
	// Revision counts accepted changes of this service, starting at 1.
	Revision uint64
	Classes  []Class
	// DefaultClass names the class of requests that no class matches. Empty
	// refuses them as malformed.
	DefaultClass string
	// Slots is how many requests a target serves at once.
	Slots int
	// Connections bounds the connections to a target.
	Connections int
	// MinLimit is the floor of the adaptive concurrency limit.
	MinLimit int
	// RetryAllowance is how many retries the whole chain of a request may use.
	RetryAllowance int
	// RetryBudgetRatio is the share of first tries that may be retried, 0 to 1.
	RetryBudgetRatio float64
	// DrainTime is how long requests in progress may take on shutdown before
	// the node warns. It cuts off none of them.
	DrainTime time.Duration
	// ColdStart is the ramp from MinLimit to Slots of a target that has started.
	ColdStart time.Duration
	// QueueTimeout bounds the wait for a slot.
	QueueTimeout time.Duration
	// MaxAnswerBytes bounds an answer's body.
	MaxAnswerBytes int64
	// MaxRequestBytes bounds a request's body.
	MaxRequestBytes int64
	// ClaimWindow is how long an idempotency key is honoured.
	ClaimWindow time.Duration
	// MaxDepth bounds the hops of a chain.
	MaxDepth int
}

// Classify returns the class of a request, or nil when none matches and there
// is no default. path has no query.
func (p *Policy) Classify(method, path string) *Class {
	for i := range p.Classes {
		if p.Classes[i].matches(method, path) {
			return &p.Classes[i]
		}
	}
	for i := range p.Classes {
		if p.Classes[i].Name == p.DefaultClass {
			return &p.Classes[i]
		}
	}
	return nil
}

// Class returns the class with the given name, or nil.
func (p *Policy) Class(name string) *Class {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return &p.Classes[i]
		}
	}
	return nil
}

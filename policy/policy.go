package policy

import "time"

// Policy is the accepted configuration of one service.
type Policy struct {
	Name ServiceName
	// Revision counts the accepted changes of this service, starting at 1.
	Revision uint64
	Classes  []Class
	// DefaultClass is the name of the class for requests that no class matches.
	// If it is empty, such requests are refused as malformed.
	DefaultClass string
	// Slots is the number of requests that a target handles concurrently.
	Slots int
	// Connections is the maximum number of connections to a target.
	Connections int
	// MinLimit is the lower bound of the adaptive concurrency limit.
	MinLimit int
	// RetryAllowance is the maximum number of retries in the whole call chain of a
	// request.
	RetryAllowance int
	// RetryBudgetRatio is the fraction of first attempts that may be retried,
	// 0 to 1.
	RetryBudgetRatio float64
	// DrainTime is how long requests in progress may take on shutdown before
	// the node logs a warning. None of them is aborted.
	DrainTime time.Duration
	// ColdStart is how long the limit of a newly started target takes to rise
	// from MinLimit to Slots.
	ColdStart time.Duration
	// QueueTimeout is the maximum time that a request waits for a slot.
	QueueTimeout time.Duration
	// MaxAnswerBytes is the maximum length of a response body.
	MaxAnswerBytes int64
	// MaxRequestBytes is the maximum length of a request body.
	MaxRequestBytes int64
	// ClaimWindow is how long an idempotency key prevents a second execution.
	ClaimWindow time.Duration
	// MaxDepth is the maximum number of hops of a call chain.
	MaxDepth int
}

// Classify returns the class of a request, or nil if no class matches and there is
// no default class. path has no query.
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

// Class returns the class with the given name, or nil if there is none.
func (p *Policy) Class(name string) *Class {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return &p.Classes[i]
		}
	}
	return nil
}

package configlog

import "github.com/goldcrestsail/goldcrestsail/policy"

// ClassBody is a class as written in a record. Importance and TimeoutMS have
// no default: an omitted importance would make the class the most important.
type ClassBody struct {
	Name          string         `json:"name"`
	Importance    *int           `json:"importance"`
	Match         []policy.Match `json:"match,omitempty"`
	Retryable     bool           `json:"retryable,omitempty"`
	NonIdempotent bool           `json:"non_idempotent,omitempty"`
	TimeoutMS     *int64         `json:"timeout_ms"`
}

// apply returns the class that results from applying b to the class with the
// same name in the current policy, if there is one. Schemas 1 and 2 contain all
// current fields; a field that only a later schema contains keeps its value
// from the current class.
func (b *ClassBody) apply(current *policy.Policy) policy.Class {
	var c policy.Class
	if current != nil {
		if kept := current.Class(b.Name); kept != nil {
			c = *kept
		}
	}
	c.Name, c.Importance, c.Match = b.Name, valueOrZero(b.Importance), b.Match
	c.Retryable, c.NonIdempotent, c.Timeout = b.Retryable, b.NonIdempotent, durationFromMS(valueOrZero(b.TimeoutMS))
	return c
}

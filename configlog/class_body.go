package configlog

import "github.com/goldcrestsail/goldcrestsail/policy"

// ClassBody is a class as written in a record. Importance and TimeoutMS have
// no default: a forgotten importance would make the class the most important.
type ClassBody struct {
	Name          string         `json:"name"`
	Importance    *int           `json:"importance"`
	Match         []policy.Match `json:"match,omitempty"`
	Retryable     bool           `json:"retryable,omitempty"`
	NonIdempotent bool           `json:"non_idempotent,omitempty"`
	TimeoutMS     *int64         `json:"timeout_ms"`
}

package policy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Limits of policy values.
const (
	maxClasses        = 64
	maxMatches        = 64
	maxSlots          = 100_000
	maxRetryAllowance = 16
	maxDepth          = 64
	maxBodyBytes      = 64 << 20
	maxTimeout        = 10 * time.Minute
	maxClaimWindow    = 24 * time.Hour
)

var knownMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions}

// Validate returns all invalid fields of p with the values found and the values
// allowed. It returns nil for a valid policy.
func (p *Policy) Validate() []kind.FieldError {
	v := &validator{}
	v.check("customer", p.Name.Customer, ValidName(p.Name.Customer), "a DNS label in lower case")
	v.check("service", p.Name.Service, ValidName(p.Name.Service), "a DNS label in lower case")
	v.integer("slots", int64(p.Slots), 1, maxSlots)
	v.integer("connections", int64(p.Connections), 1, maxSlots)
	v.integer("min_limit", int64(p.MinLimit), 1, int64(max(p.Slots, 1)))
	v.integer("retry_allowance", int64(p.RetryAllowance), 0, maxRetryAllowance)
	v.check("retry_budget_ratio", strconv.FormatFloat(p.RetryBudgetRatio, 'g', -1, 64), p.RetryBudgetRatio >= 0 && p.RetryBudgetRatio <= 1, "a number from 0 to 1")
	v.duration("drain_time_ms", p.DrainTime, time.Millisecond, maxTimeout)
	v.duration("cold_start_ms", p.ColdStart, time.Millisecond, maxTimeout)
	v.duration("queue_timeout_ms", p.QueueTimeout, time.Millisecond, maxTimeout)
	v.duration("claim_window_ms", p.ClaimWindow, time.Second, maxClaimWindow)
	v.integer("max_answer_bytes", p.MaxAnswerBytes, 1, maxBodyBytes)
	v.integer("max_request_bytes", p.MaxRequestBytes, 1, maxBodyBytes)
	v.integer("max_depth", int64(p.MaxDepth), 1, maxDepth)
	v.integer("classes", int64(len(p.Classes)), 1, maxClasses)
	v.classes(p.Classes)
	if p.DefaultClass != "" {
		v.check("default_class", p.DefaultClass, p.Class(p.DefaultClass) != nil, "the name of a class")
	}
	return v.fieldErrors
}

type validator struct{ fieldErrors []kind.FieldError }

func (v *validator) check(field, value string, ok bool, allowed string) {
	if !ok {
		v.fieldErrors = append(v.fieldErrors, kind.FieldError{Field: field, Value: value, Allowed: allowed})
	}
}

func (v *validator) integer(field string, value, lowest, highest int64) {
	v.check(field, strconv.FormatInt(value, 10), value >= lowest && value <= highest, fmt.Sprintf("an integer from %d to %d", lowest, highest))
}

func (v *validator) duration(field string, value, lowest, highest time.Duration) {
	v.check(field, strconv.FormatInt(value.Milliseconds(), 10), value >= lowest && value <= highest,
		fmt.Sprintf("milliseconds from %d to %d", lowest.Milliseconds(), highest.Milliseconds()))
}

func (v *validator) classes(classes []Class) {
	seen := map[string]bool{}
	for i := range classes {
		c := &classes[i]
		prefix := fmt.Sprintf("classes[%d].", i)
		v.check(prefix+"name", c.Name, ValidName(c.Name) && !seen[c.Name], "a unique DNS label in lower case")
		seen[c.Name] = true
		v.integer(prefix+"importance", int64(c.Importance), 0, MaxImportance)
		v.duration(prefix+"timeout_ms", c.Timeout, time.Millisecond, maxTimeout)
		v.integer(prefix+"match", int64(len(c.Match)), 0, maxMatches)
		v.check(prefix+"retryable", strconv.FormatBool(c.Retryable), !c.Retryable || !c.NonIdempotent, "false for a non-idempotent class")
		for j := range c.Match {
			v.match(fmt.Sprintf("%smatch[%d].", prefix, j), &c.Match[j])
		}
	}
}

func (v *validator) match(prefix string, m *Match) {
	v.check(prefix+"path", m.Path, validPathPattern(m.Path), "an absolute path with '*' for one segment and '**' only as the last")
	for _, method := range m.Methods {
		known := false
		for _, k := range knownMethods {
			known = known || k == method
		}
		v.check(prefix+"methods", method, known, strings.Join(knownMethods, ", "))
	}
}

func validPathPattern(pattern string) bool {
	if !strings.HasPrefix(pattern, "/") || strings.ContainsAny(pattern, "?#") {
		return false
	}
	withoutRest := strings.TrimSuffix(pattern, "/**")
	for _, segment := range strings.Split(withoutRest, "/") {
		if segment != "*" && strings.Contains(segment, "*") {
			return false
		}
	}
	return true
}

package configlog

import (
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// PolicyBody is a policy as written in a record. The fields of schema 1 are
// required in both schemas. A field of schema 2 that a schema 2 record omits
// gets its default; a schema 1 record must not contain it.
type PolicyBody struct {
	Classes        []ClassBody `json:"classes"`
	Slots          *int        `json:"slots"`
	Connections    *int        `json:"connections"`
	RetryAllowance *int        `json:"retry_allowance"`

	MinLimit         *int     `json:"min_limit,omitempty" schema:"2"`
	RetryBudgetRatio *float64 `json:"retry_budget_ratio,omitempty" schema:"2"`
	DrainTimeMS      *int64   `json:"drain_time_ms,omitempty" schema:"2"`
	ColdStartMS      *int64   `json:"cold_start_ms,omitempty" schema:"2"`
	QueueTimeoutMS   *int64   `json:"queue_timeout_ms,omitempty" schema:"2"`
	MaxAnswerBytes   *int64   `json:"max_answer_bytes,omitempty" schema:"2"`
	MaxRequestBytes  *int64   `json:"max_request_bytes,omitempty" schema:"2"`
	ClaimWindowMS    *int64   `json:"claim_window_ms,omitempty" schema:"2"`
	MaxDepth         *int     `json:"max_depth,omitempty" schema:"2"`
	DefaultClass     *string  `json:"default_class,omitempty" schema:"2"`
}

// NewPolicyBody returns the schema 2 form of p with all fields set.
func NewPolicyBody(p *policy.Policy) *PolicyBody {
	b := &PolicyBody{
		Classes: []ClassBody{}, Slots: &p.Slots, Connections: &p.Connections, RetryAllowance: &p.RetryAllowance,
		MinLimit: &p.MinLimit, RetryBudgetRatio: &p.RetryBudgetRatio, DrainTimeMS: millisecondsPtr(p.DrainTime),
		ColdStartMS: millisecondsPtr(p.ColdStart), QueueTimeoutMS: millisecondsPtr(p.QueueTimeout),
		MaxAnswerBytes: &p.MaxAnswerBytes, MaxRequestBytes: &p.MaxRequestBytes,
		ClaimWindowMS: millisecondsPtr(p.ClaimWindow), MaxDepth: &p.MaxDepth, DefaultClass: &p.DefaultClass,
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		b.Classes = append(b.Classes, ClassBody{Name: c.Name, Importance: &c.Importance, Match: c.Match,
			Retryable: c.Retryable, NonIdempotent: c.NonIdempotent, TimeoutMS: millisecondsPtr(c.Timeout)})
	}
	return b
}

// apply returns the policy that results from applying b to the policy in force,
// which is nil for a new service. A schema 1 change of a service in force keeps
// every field that schema 1 cannot express, both of the policy and of classes
// whose name is unchanged. For any other change those fields get their defaults.
func (b *PolicyBody) apply(schema int, name policy.ServiceName, current *policy.Policy) *policy.Policy {
	p := &policy.Policy{RetryBudgetRatio: policy.DefaultRetryBudgetRatio, Slots: max(valueOrZero(b.Slots), 1)}
	if schema == Schema1 && current != nil {
		*p = *current
	} else {
		p.ApplyDefaults()
		current = nil
	}
	p.Name = name
	p.Slots, p.Connections, p.RetryAllowance = valueOrZero(b.Slots), valueOrZero(b.Connections), valueOrZero(b.RetryAllowance)
	p.Classes = make([]policy.Class, 0, len(b.Classes))
	for i := range b.Classes {
		p.Classes = append(p.Classes, b.Classes[i].apply(current))
	}
	if schema == Schema1 {
		return p
	}
	setIfPresent(&p.MinLimit, b.MinLimit)
	setIfPresent(&p.RetryBudgetRatio, b.RetryBudgetRatio)
	setDurationIfPresent(&p.DrainTime, b.DrainTimeMS)
	setDurationIfPresent(&p.ColdStart, b.ColdStartMS)
	setDurationIfPresent(&p.QueueTimeout, b.QueueTimeoutMS)
	setIfPresent(&p.MaxAnswerBytes, b.MaxAnswerBytes)
	setIfPresent(&p.MaxRequestBytes, b.MaxRequestBytes)
	setDurationIfPresent(&p.ClaimWindow, b.ClaimWindowMS)
	setIfPresent(&p.MaxDepth, b.MaxDepth)
	setIfPresent(&p.DefaultClass, b.DefaultClass)
	return p
}

// presentSchema2Fields returns the JSON names of the fields of b that are set but
// do not exist in schema 1.
func (b *PolicyBody) presentSchema2Fields() []string {
	var names []string
	v := reflect.ValueOf(b).Elem()
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.Tag.Get("schema") == "2" && !v.Field(i).IsNil() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}

func valueOrZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

func setIfPresent[T any](field *T, set *T) {
	if set != nil {
		*field = *set
	}
}

func setDurationIfPresent(field *time.Duration, ms *int64) {
	if ms != nil {
		*field = durationFromMS(*ms)
	}
}

// durationFromMS converts milliseconds to a duration. It saturates, so that a
// huge value cannot overflow into an allowed one.
func durationFromMS(ms int64) time.Duration {
	const maxMS = int64(math.MaxInt64 / time.Millisecond)
	return time.Duration(min(max(ms, -maxMS), maxMS)) * time.Millisecond
}

func millisecondsPtr(d time.Duration) *int64 {
	ms := d.Milliseconds()
	return &ms
}

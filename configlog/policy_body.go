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

// BodyOf returns the schema 2 form of p with every field written out.
func BodyOf(p *policy.Policy) *PolicyBody {
	b := &PolicyBody{
		Classes: []ClassBody{}, Slots: &p.Slots, Connections: &p.Connections, RetryAllowance: &p.RetryAllowance,
		MinLimit: &p.MinLimit, RetryBudgetRatio: &p.RetryBudgetRatio, DrainTimeMS: milliseconds(p.DrainTime),
		ColdStartMS: milliseconds(p.ColdStart), QueueTimeoutMS: milliseconds(p.QueueTimeout),
		MaxAnswerBytes: &p.MaxAnswerBytes, MaxRequestBytes: &p.MaxRequestBytes,
		ClaimWindowMS: milliseconds(p.ClaimWindow), MaxDepth: &p.MaxDepth, DefaultClass: &p.DefaultClass,
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		b.Classes = append(b.Classes, ClassBody{Name: c.Name, Importance: &c.Importance, Match: c.Match,
			Retryable: c.Retryable, NonIdempotent: c.NonIdempotent, TimeoutMS: milliseconds(c.Timeout)})
	}
	return b
}

// apply returns the policy that results from applying b to the policy in force,
// which is nil for a new service. A schema 1 change of a service in force keeps
// every field that schema 1 cannot express, both of the policy and of classes
// whose name is unchanged; otherwise those fields get their defaults.
func (b *PolicyBody) apply(schema int, name policy.ServiceName, current *policy.Policy) *policy.Policy {
	p := &policy.Policy{RetryBudgetRatio: policy.DefaultRetryBudgetRatio, Slots: max(value(b.Slots), 1)}
	if schema == Schema1 && current != nil {
		*p = *current
	} else {
		p.ApplyDefaults()
		current = nil
	}
	p.Name = name
	p.Slots, p.Connections, p.RetryAllowance = value(b.Slots), value(b.Connections), value(b.RetryAllowance)
	p.Classes = make([]policy.Class, 0, len(b.Classes))
	for i := range b.Classes {
		p.Classes = append(p.Classes, b.Classes[i].apply(current))
	}
	if schema == Schema1 {
		return p
	}
	override(&p.MinLimit, b.MinLimit)
	override(&p.RetryBudgetRatio, b.RetryBudgetRatio)
	overrideDuration(&p.DrainTime, b.DrainTimeMS)
	overrideDuration(&p.ColdStart, b.ColdStartMS)
	overrideDuration(&p.QueueTimeout, b.QueueTimeoutMS)
	override(&p.MaxAnswerBytes, b.MaxAnswerBytes)
	override(&p.MaxRequestBytes, b.MaxRequestBytes)
	overrideDuration(&p.ClaimWindow, b.ClaimWindowMS)
	override(&p.MaxDepth, b.MaxDepth)
	override(&p.DefaultClass, b.DefaultClass)
	return p
}

// schema2Fields returns the names of the set fields that schema 1 lacks.
func (b *PolicyBody) schema2Fields() []string {
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

func value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

func override[T any](field *T, set *T) {
	if set != nil {
		*field = *set
	}
}

func overrideDuration(field *time.Duration, ms *int64) {
	if ms != nil {
		*field = duration(*ms)
	}
}

// duration converts milliseconds and saturates, so that a huge value cannot
// wrap around into an allowed one.
func duration(ms int64) time.Duration {
	const maxMS = int64(math.MaxInt64 / time.Millisecond)
	return time.Duration(min(max(ms, -maxMS), maxMS)) * time.Millisecond
}

func milliseconds(d time.Duration) *int64 {
	ms := d.Milliseconds()
	return &ms
}

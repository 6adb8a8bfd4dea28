package configlog

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

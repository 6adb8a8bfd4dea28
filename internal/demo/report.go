package demo

// Report compares a run with the overload control layer and a naive run on the
// same targets and load.
type Report struct {
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Controlled *Result `json:"controlled"`
	Naive      *Result `json:"naive"`
}

// Result holds the measurements of one run.
type Result struct {
	// Goodput is the rate of complete and correct answers within their
	// deadline in the overload phase, in requests per second.
	Goodput float64 `json:"goodput"`
	// GoodputBefore is the same before the overload.
	GoodputBefore float64 `json:"goodput_before"`
	// RecoverySeconds is the time from the end of the overload until goodput
	// is back at 95% of GoodputBefore.
	RecoverySeconds float64 `json:"recovery_seconds"`
	// Recovered is false when goodput did not come back; RecoverySeconds is
	// then the time that was observed.
	Recovered            bool                    `json:"recovered"`
	DuplicateEffects     int                     `json:"duplicate_effects"`
	IncompleteAnswers    int                     `json:"incomplete_answers"`
	FalseNotRun          int                     `json:"false_not_run"`
	MaxRetriesPerRequest int                     `json:"max_retries_per_request"`
	Classes              map[string]*ClassResult `json:"classes"`
}

// ClassResult counts the client requests of one class in the overload phase.
type ClassResult struct {
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
}

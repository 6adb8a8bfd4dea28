package policy

import "time"

// Defaults for the fields that change records of schema 1 do not contain.
const (
	DefaultMinLimit         = 2
	DefaultRetryAllowance   = 2
	DefaultRetryBudgetRatio = 0.1
	DefaultDrainTime        = 10 * time.Second
	DefaultColdStart        = 5 * time.Second
	DefaultQueueTimeout     = 250 * time.Millisecond
	DefaultMaxAnswerBytes   = 1 << 20
	DefaultMaxRequestBytes  = 1 << 20
	DefaultClaimWindow      = 10 * time.Minute
	DefaultMaxDepth         = 15
)

// ApplyDefaults sets zero fields to their defaults.
func (p *Policy) ApplyDefaults() {
	setDefault(&p.MinLimit, min(DefaultMinLimit, p.Slots))
	setDefault(&p.DrainTime, DefaultDrainTime)
	setDefault(&p.ColdStart, DefaultColdStart)
	setDefault(&p.QueueTimeout, DefaultQueueTimeout)
	setDefault(&p.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&p.MaxRequestBytes, DefaultMaxRequestBytes)
	setDefault(&p.ClaimWindow, DefaultClaimWindow)
	setDefault(&p.MaxDepth, DefaultMaxDepth)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

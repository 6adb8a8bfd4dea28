package logservice

import (
	"errors"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// ErrRateExceeded is in the chain of the error of an append that was refused
// because the append rate is exceeded.
var ErrRateExceeded = errors.New("append rate exceeded")

// unavailable is an error of kind log-unavailable with its cause.
type unavailable struct {
	kindErr *kind.Error
	cause   error
}

// Unavailable returns an error of kind log-unavailable with the given run
// state and cause.
func Unavailable(run kind.RunState, cause error) error {
	return &unavailable{kindErr: kind.New(kind.LogUnavailable, cause.Error()).WithRun(run), cause: cause}
}

// RateExceeded returns the error of an append refused for its rate. It has run
// state not-run. A zero retryAfter means the default of the kind.
func RateExceeded(retryAfter time.Duration) error {
	e := kind.New(kind.LogUnavailable, ErrRateExceeded.Error()).WithRun(kind.NotRun)
	e.RetryAfter = retryAfter
	return &unavailable{kindErr: e, cause: ErrRateExceeded}
}

// Error implements error.
func (u *unavailable) Error() string { return u.kindErr.Error() }

// Unwrap lets errors.As find the kind.Error and errors.Is find the cause.
func (u *unavailable) Unwrap() []error { return []error{u.kindErr, u.cause} }

package logservice

import (
	"errors"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// ErrRateExceeded is wrapped by the error of an append that the log service
// refused because the append rate is exceeded.
var ErrRateExceeded = errors.New("append rate exceeded")

// unavailableError is an error of kind log-unavailable with its cause.
type unavailableError struct {
	kindErr *kind.Error
	cause   error
}

// Unavailable returns an error of kind log-unavailable with the given run
// state and cause.
func Unavailable(run kind.RunState, cause error) error {
	return &unavailableError{kindErr: kind.New(kind.LogUnavailable, cause.Error()).WithRun(run), cause: cause}
}

// RateExceeded returns the error of an append that was refused because the
// append rate is exceeded. Its run state is not-run. A zero retryAfter means
// the default of the kind.
func RateExceeded(retryAfter time.Duration) error {
	e := kind.New(kind.LogUnavailable, ErrRateExceeded.Error()).WithRun(kind.NotRun)
	e.RetryAfter = retryAfter
	return &unavailableError{kindErr: e, cause: ErrRateExceeded}
}

// Error implements error.
func (e *unavailableError) Error() string { return e.kindErr.Error() }

// Unwrap lets errors.As find the kind.Error and errors.Is find the cause.
func (e *unavailableError) Unwrap() []error { return []error{e.kindErr, e.cause} }

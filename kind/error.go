package kind

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class is the error class of all errors created by this module.
var Class = errs.Class("goldcrestsail")

// Error is an error with a kind. It is created with New or Newf.
type Error struct {
	Kind Kind
	// Run is the run state; it may be more certain than that in Responses.
	Run RunState
	// Detail is a human-readable description of what happened.
	Detail string
	// RetryAfter overrides the value in Responses if it is positive.
	RetryAfter time.Duration
	// Fields lists all invalid fields found in validated input.
	Fields []FieldError
}

// New returns an error of kind k with the run state from Responses.
func New(k Kind, detail string) *Error {
	return &Error{Kind: k, Run: ResponseFor(k).Run, Detail: detail}
}

// Newf is like New, with a format string for the detail.
func Newf(k Kind, format string, args ...any) *Error {
	return New(k, fmt.Sprintf(format, args...))
}

// WithRun sets the run state and returns e.
func (e *Error) WithRun(r RunState) *Error {
	e.Run = r
	return e
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(string(e.Kind))
	if e.Detail != "" {
		b.WriteString(": " + e.Detail)
	}
	for _, f := range e.Fields {
		b.WriteString("; " + f.Error())
	}
	return b.String()
}

// Of returns the first *Error in err's chain or, if there is none, an error of kind
// Internal with err's text. It returns nil for a nil error.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, err.Error())
}

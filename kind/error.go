package kind

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class is the error class of all errors made by this module.
var Class = errs.Class("goldcrestsail")

// Error is an error with a kind. It is made with New or Newf.
type Error struct {
	Kind Kind
	// Run is the run state; it may be more certain than the table's.
	Run RunState
	// Detail says what happened, for people.
	Detail string
	// RetryAfter overrides the table's value when it is positive.
	RetryAfter time.Duration
	// Fields lists every fault found in checked input.
	Fields []FieldError
}

// New returns an error of kind k with the run state that the table gives.
func New(k Kind, detail string) *Error {
	return &Error{Kind: k, Run: AnswerFor(k).Run, Detail: detail}
}

// Newf is New with a format.
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

// Of returns the *Error in err's chain, or wraps err as Internal. It returns
// nil for a nil error.
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

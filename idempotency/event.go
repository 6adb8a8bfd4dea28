package idempotency

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

type (
	// Request is a request of a caller. It is answered by one Respond.
	Request struct {
		// Attempt is unique among the requests of the machine.
		Attempt     uint64
		Key         Key
		Fingerprint uint64
	}
	// Cancel ends an attempt that was not answered yet.
	Cancel struct{ Attempt uint64 }
	// ClaimTimeout ends an attempt that has waited for the log for Limit.
	ClaimTimeout struct {
		Attempt uint64
		Limit   time.Duration
	}
	// Records is a batch of the stream, read from the offset Machine.Next.
	Records struct {
		Batch logservice.Batch
		// AtEnd says that no more records were available.
		AtEnd bool
	}
	// ReadFailed says that the stream could not be read.
	ReadFailed struct{}
	// AppendDone says that an append took effect.
	AppendDone struct{ Ref AppendRef }
	// AppendFailed says that an append failed or that its answer was lost; it
	// may have taken effect and may still take effect.
	AppendFailed struct{ Ref AppendRef }
	// Write asks for permission to send the request of a token to the target.
	// The permission is an AllowWrite effect.
	Write struct{ Token uint64 }
	// Finish ends a token with the response of the target.
	Finish struct {
		Token    uint64
		Response []byte
	}
	// Release ends a token whose request was not and will not be sent.
	Release struct{ Token uint64 }
	// Lost ends a token whose request was sent and whose outcome is unknown.
	Lost struct{ Token uint64 }
	// Answer is the answer to an Ask. An owner that cannot be reached answers
	// OutcomeUnknown.
	Answer struct {
		ID      uint64
		Ref     ClaimRef
		Outcome Outcome
	}
	// Question is a question of another process. It is answered by one Reply.
	Question struct {
		ID    uint64
		Ref   ClaimRef
		Owner ProcessID
	}
	// QuestionTimeout ends the wait of a question.
	QuestionTimeout struct{ ID uint64 }
	// Tick lets time pass; it is due every Config.RetryPause.
	Tick struct{}
)

func (Request) isEvent()         {}
func (Cancel) isEvent()          {}
func (ClaimTimeout) isEvent()    {}
func (Records) isEvent()         {}
func (ReadFailed) isEvent()      {}
func (AppendDone) isEvent()      {}
func (AppendFailed) isEvent()    {}
func (Write) isEvent()           {}
func (Finish) isEvent()          {}
func (Release) isEvent()         {}
func (Lost) isEvent()            {}
func (Answer) isEvent()          {}
func (Question) isEvent()        {}
func (QuestionTimeout) isEvent() {}
func (Tick) isEvent()            {}

package idempotency

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

type (
	// Request is a request from a caller. It is answered by exactly one Respond.
	Request struct {
		// Attempt is unique among the requests of a Machine.
		Attempt     uint64
		Key         Key
		Fingerprint uint64
	}
	// Cancel ends an attempt that has not been answered yet.
	Cancel struct{ Attempt uint64 }
	// ClaimTimeout ends an attempt that has waited for the log for Limit or longer.
	ClaimTimeout struct {
		Attempt uint64
		Limit   time.Duration
	}
	// Records is a batch of the stream, read from Machine.Next.
	Records struct {
		Batch logservice.Batch
		// AtEnd reports that no more records were available.
		AtEnd bool
	}
	// ReadFailed reports that the stream could not be read.
	ReadFailed struct{}
	// AppendDone reports that an append took effect.
	AppendDone struct{ Ref AppendRef }
	// AppendFailed reports that an append failed or that its response was
	// lost; it may have taken effect and may still take effect.
	AppendFailed struct{ Ref AppendRef }
	// Write asks for permission to send the request of a token to the target.
	// An AllowWrite effect grants it.
	Write struct{ Token uint64 }
	// Finish ends a token with the target's response.
	Finish struct {
		Token    uint64
		Response []byte
	}
	// Release ends a token whose request was not sent and will not be.
	Release struct{ Token uint64 }
	// ResponseLost ends a token whose request was sent and whose outcome is
	// unknown.
	ResponseLost struct{ Token uint64 }
	// OwnerReply is the result of a QueryOwner. Its outcome is OutcomeUnknown
	// if the owner cannot be reached.
	OwnerReply struct {
		ID      uint64
		Ref     ClaimRef
		Outcome Outcome
	}
	// OutcomeQuery is a query from another process about a claim. It is
	// answered by exactly one OutcomeReply.
	OutcomeQuery struct {
		ID    uint64
		Ref   ClaimRef
		Owner ProcessID
	}
	// OutcomeQueryTimeout ends the wait of an OutcomeQuery for an outcome.
	OutcomeQueryTimeout struct{ ID uint64 }
	// Tick runs timers; it is due every Config.RetryPause.
	Tick struct{}
)

func (Request) isEvent()             {}
func (Cancel) isEvent()              {}
func (ClaimTimeout) isEvent()        {}
func (Records) isEvent()             {}
func (ReadFailed) isEvent()          {}
func (AppendDone) isEvent()          {}
func (AppendFailed) isEvent()        {}
func (Write) isEvent()               {}
func (Finish) isEvent()              {}
func (Release) isEvent()             {}
func (ResponseLost) isEvent()        {}
func (OwnerReply) isEvent()          {}
func (OutcomeQuery) isEvent()        {}
func (OutcomeQueryTimeout) isEvent() {}
func (Tick) isEvent()                {}

package idempotency

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Effect is an output of Machine.Step. Reading the stream is not an effect: the
// driver of a machine reads continuously from Machine.Next.
type Effect interface{ isEffect() }

type (
	// Append requests that a record be appended to the stream.
	Append struct {
		Ref  AppendRef
		Data []byte
	}
	// QueryOwner requests the outcome of a claim from its owner after Delay.
	QueryOwner struct {
		// ID is copied into the OwnerReply.
		ID    uint64
		Owner ProcessID
		Ref   ClaimRef
		Delay time.Duration
	}
	// Respond answers a Request with a token, a stored response or an error.
	Respond struct {
		Attempt uint64
		// Token is non-zero if the request is to be executed.
		Token    uint64
		Replayed bool
		Response []byte
		Err      *kind.Error
	}
	// AllowWrite grants the permission that a Write asked for.
	AllowWrite struct{ Token uint64 }
	// OutcomeReply answers an OutcomeQuery.
	OutcomeReply struct {
		ID      uint64
		Outcome Outcome
	}
)

func (Append) isEffect()       {}
func (QueryOwner) isEffect()   {}
func (Respond) isEffect()      {}
func (AllowWrite) isEffect()   {}
func (OutcomeReply) isEffect() {}

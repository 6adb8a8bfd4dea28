package idempotency

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Effect is an output of Machine.Step. Reading the stream from Machine.Next on
// is not an effect: the driver of a machine does it all the time.
type Effect interface{ isEffect() }

type (
	// Append asks for a record to be appended to the stream.
	Append struct {
		Ref  AppendRef
		Data []byte
	}
	// Ask asks the owner of a claim for its outcome, after a pause.
	Ask struct {
		// ID is repeated by the Answer.
		ID    uint64
		Owner ProcessID
		Ref   ClaimRef
		After time.Duration
	}
	// Respond answers a Request with a token, a replay or an error.
	Respond struct {
		Attempt uint64
		// Token is not 0 when the request is to be executed.
		Token    uint64
		Replayed bool
		Response []byte
		Err      *kind.Error
	}
	// AllowWrite permits the Write of a token.
	AllowWrite struct{ Token uint64 }
	// Reply answers a Question.
	Reply struct {
		ID      uint64
		Outcome Outcome
	}
)

func (Append) isEffect()     {}
func (Ask) isEffect()        {}
func (Respond) isEffect()    {}
func (AllowWrite) isEffect() {}
func (Reply) isEffect()      {}

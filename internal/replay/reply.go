package replay

import "github.com/goldcrestsail/goldcrestsail/kind"

// reply is the response to a client or to a target that made a sub-call.
type reply struct {
	// kind is empty when the target answered.
	kind   kind.Kind
	run    kind.RunState
	status int
	// body identifies the request that it answers.
	body uint64
	// noEffect is what a target declares when it failed before the request took
	// effect.
	noEffect bool
}

func refusal(k kind.Kind) reply {
	a := kind.ResponseFor(k)
	return reply{kind: k, run: a.Run, status: a.Status}
}

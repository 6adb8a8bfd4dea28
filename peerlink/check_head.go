package peerlink

import (
	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/internal/httphead"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// rejectSpoiledHead replaces a response whose head is not valid by a failure. A peer of an
// earlier version passes on such heads of its target.
func rejectSpoiledHead(r *message.Reply, memory *bytebudget.Reservation) {
	if r.Response == nil {
		return
	}
	valid := httphead.ValidStatus(r.Response.Status)
	for _, f := range r.Response.Header {
		valid = valid && httphead.ValidField(f.Name, f.Value)
	}
	if valid {
		return
	}
	memory.Release()
	r.Response = nil
	r.Failure = kind.New(kind.AnswerMismatched, "the head of the response that the peer has passed on is not valid")
}

// rejectDroppedBody replaces the response of a reply whose body found no room.
func rejectDroppedBody(f frame) {
	if f.noRoom && f.reply.Response != nil {
		f.reply.Response = nil
		f.reply.Failure = kind.New(kind.AnswerTooLarge, "no memory left for the response of the target").WithRun(kind.MayHaveRun)
	}
}

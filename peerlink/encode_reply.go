package peerlink

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// Field numbers of a reply.
const (
	replyStatus protowire.Number = iota + 1
	replyHeader
	replyKind
	replyRun
	replyDetail
	replyRetryAfter
	replyRunning
	replyWaiting
	replyLimit
	replyLevel
	replyServiceTime
	replyByImportance
	replyVisited
	replyLevels
	replyHasLoad
)

// Field numbers of a service level.
const (
	levelService protowire.Number = 1
	levelLevel   protowire.Number = 2
	levelAge     protowire.Number = 3
)

// encodeReply encodes a reply without the body of its response.
func encodeReply(r *message.Reply) []byte {
	b := make([]byte, 0, 256)
	if r.Response != nil {
		b = appendNumber(b, replyStatus, uint64(r.Response.Status))
		b = appendHeader(b, replyHeader, r.Response.Header)
	}
	if f := r.Failure; f != nil {
		b = appendText(b, replyKind, string(f.Kind))
		b = appendText(b, replyRun, string(f.Run))
		b = appendText(b, replyDetail, f.Detail)
		b = appendNumber(b, replyRetryAfter, uint64(max(0, f.RetryAfter.Microseconds())))
	}
	if l := r.Load; l != nil {
		b = appendFlag(b, replyHasLoad, true)
		b = appendNumber(b, replyRunning, uint64(l.Running))
		b = appendNumber(b, replyWaiting, uint64(l.Waiting))
		b = appendNumber(b, replyLimit, uint64(l.Limit))
		b = appendNumber(b, replyLevel, uint64(l.Level))
		b = appendNumber(b, replyServiceTime, uint64(max(0, l.ServiceTime.Microseconds())))
		var counts []byte
		for _, n := range l.ByImportance {
			counts = protowire.AppendVarint(counts, uint64(n))
		}
		if len(counts) > 0 {
			b = appendMessage(b, replyByImportance, counts)
		}
	}
	for _, s := range r.Visited {
		b = appendText(b, replyVisited, s)
	}
	for _, l := range r.Levels {
		var inner []byte
		inner = appendText(inner, levelService, l.Service)
		inner = appendNumber(inner, levelLevel, uint64(l.Level))
		inner = appendNumber(inner, levelAge, uint64(max(0, l.Age.Milliseconds())))
		b = appendMessage(b, replyLevels, inner)
	}
	return b
}

func microseconds(v uint64) time.Duration {
	return time.Duration(min(v, uint64(maxTimeLeft.Microseconds()))) * time.Microsecond
}

// decodeReply decodes a reply.
func decodeReply(f frame) (*message.Reply, error) {
	r := &message.Reply{}
	response := &message.Response{Body: f.body, FromTarget: true}
	failure := &kind.Error{}
	load := &message.Load{}
	err := walk(f.payload, func(field protowire.Number, v uint64) {
		switch field {
		case replyStatus:
			response.Status = int(min(v, 999))
		case replyRetryAfter:
			failure.RetryAfter = microseconds(v)
		case replyHasLoad:
			r.Load = load
		case replyRunning:
			load.Running = uint32(v)
		case replyWaiting:
			load.Waiting = uint32(v)
		case replyLimit:
			load.Limit = uint32(v)
		case replyLevel:
			load.Level = uint32(v)
		case replyServiceTime:
			load.ServiceTime = microseconds(v)
		}
	}, func(field protowire.Number, v []byte) error {
		switch field {
		case replyHeader:
			return decodeField(v, &response.Header)
		case replyKind:
			failure.Kind = kind.Kind(v)
		case replyRun:
			failure.Run = kind.RunState(v)
		case replyDetail:
			failure.Detail = string(v)
		case replyByImportance:
			for len(v) > 0 {
				n, size := protowire.ConsumeVarint(v)
				if size < 0 {
					return errFrame
				}
				load.ByImportance = append(load.ByImportance, uint32(n))
				v = v[size:]
			}
		case replyVisited:
			r.Visited = append(r.Visited, string(v))
		case replyLevels:
			return decodeLevel(v, &r.Levels)
		}
		return nil
	})
	switch {
	case failure.Kind != "":
		r.Failure = failure
	case response.Status >= 200:
		r.Response = response
	case err == nil:
		err = errFrame
	}
	return r, err
}

func decodeLevel(b []byte, to *[]message.ServiceLevel) error {
	var l message.ServiceLevel
	err := walk(b, func(field protowire.Number, v uint64) {
		switch field {
		case levelLevel:
			l.Level = uint32(v)
		case levelAge:
			l.Age = time.Duration(min(v, uint64(maxTimeLeft.Milliseconds()))) * time.Millisecond
		}
	}, func(field protowire.Number, v []byte) error {
		if field == levelService {
			l.Service = string(v)
		}
		return nil
	})
	*to = append(*to, l)
	return err
}

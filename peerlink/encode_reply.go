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
	replyCutoffs
	replyHasLoad
	replyCutoff
	replyDependencyFailed
)

// Field numbers of a service's cutoff and of a visit.
const (
	cutoffService protowire.Number = 1
	cutoffValue   protowire.Number = 2
	cutoffAge     protowire.Number = 3

	visitService protowire.Number = 1
	visitRuns    protowire.Number = 2
)

// cutoffUnit is the resolution of a cutoff on the wire.
const cutoffUnit = 1.0 / 256

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
		b = appendNumber(b, replyCutoff, encodeCutoff(l.Cutoff))
		b = appendNumber(b, replyServiceTime, uint64(max(0, l.ServiceTime.Microseconds())))
		var counts []byte
		for _, n := range l.ByImportance {
			counts = protowire.AppendVarint(counts, uint64(n))
		}
		if len(counts) > 0 {
			b = appendMessage(b, replyByImportance, counts)
		}
	}
	for _, v := range r.Visited {
		var inner []byte
		inner = appendText(inner, visitService, v.Service)
		inner = appendNumber(inner, visitRuns, uint64(v.Runs))
		b = appendMessage(b, replyVisited, inner)
	}
	for _, c := range r.Cutoffs {
		var inner []byte
		inner = appendText(inner, cutoffService, c.Service)
		inner = appendNumber(inner, cutoffValue, encodeCutoff(c.Cutoff))
		inner = appendNumber(inner, cutoffAge, uint64(max(0, c.Age.Milliseconds())))
		b = appendMessage(b, replyCutoffs, inner)
	}
	return appendFlag(b, replyDependencyFailed, r.DependencyFailed)
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
		case replyCutoff:
			load.Cutoff = decodeCutoff(v)
		case replyDependencyFailed:
			r.DependencyFailed = v != 0
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
			return decodeVisit(v, &r.Visited)
		case replyCutoffs:
			return decodeServiceCutoff(v, &r.Cutoffs)
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

func encodeCutoff(c float64) uint64 { return uint64(max(0, c)/cutoffUnit + 0.5) }

func decodeCutoff(v uint64) float64 { return float64(min(v, 1<<20)) * cutoffUnit }

func decodeServiceCutoff(b []byte, to *[]message.ServiceCutoff) error {
	var c message.ServiceCutoff
	err := walk(b, func(field protowire.Number, v uint64) {
		switch field {
		case cutoffValue:
			c.Cutoff = decodeCutoff(v)
		case cutoffAge:
			c.Age = time.Duration(min(v, uint64(maxTimeLeft.Milliseconds()))) * time.Millisecond
		}
	}, func(field protowire.Number, v []byte) error {
		if field == cutoffService {
			c.Service = string(v)
		}
		return nil
	})
	*to = append(*to, c)
	return err
}

func decodeVisit(b []byte, to *[]message.Visit) error {
	var visit message.Visit
	err := walk(b, func(field protowire.Number, v uint64) {
		if field == visitRuns {
			visit.Runs = uint32(min(v, 1<<20))
		}
	}, func(field protowire.Number, v []byte) error {
		if field == visitService {
			visit.Service = string(v)
		}
		return nil
	})
	*to = append(*to, visit)
	return err
}

package peerlink

import (
	"cmp"
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
	replyOwnTime
)

// Field numbers of a service's cutoff and of a visit.
const (
	nameField   protowire.Number = 1
	cutoffValue protowire.Number = 2
	cutoffAge   protowire.Number = 3
	visitRuns   protowire.Number = 2
)

// cutoffUnit is the resolution of a cutoff on the wire.
const cutoffUnit = 1.0 / 256

// appendReply encodes a reply without the body of its response.
func appendReply(b []byte, t *texts, r *message.Reply) []byte {
	if r.Response != nil {
		b = appendNumber(b, replyStatus, uint64(r.Response.Status))
		b = t.appendHeader(b, replyHeader, r.Response.Header)
	}
	if f := r.Failure; f != nil {
		b = t.append(b, replyKind, string(f.Kind))
		b = t.append(b, replyRun, string(f.Run))
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
		inner = t.append(inner, nameField, v.Service)
		inner = appendNumber(inner, visitRuns, uint64(v.Runs))
		b = appendMessage(b, replyVisited, inner)
	}
	for _, c := range r.Cutoffs {
		var inner []byte
		inner = t.append(inner, nameField, c.Service)
		inner = appendNumber(inner, cutoffValue, encodeCutoff(c.Cutoff))
		inner = appendNumber(inner, cutoffAge, uint64(max(0, c.Age.Milliseconds())))
		b = appendMessage(b, replyCutoffs, inner)
	}
	b = appendNumber(b, replyOwnTime, uint64(max(0, r.OwnTime.Microseconds())))
	return appendFlag(b, replyDependencyFailed, r.DependencyFailed)
}

func microseconds(v uint64) time.Duration {
	return time.Duration(min(v, uint64(maxTimeLeft.Microseconds()))) * time.Microsecond
}

// decodeReply decodes a reply.
func decodeReply(f frame, t *texts) (*message.Reply, error) {
	r := &message.Reply{}
	var unknown error
	numbered := func(n uint64) string {
		text, err := t.numbered(n)
		unknown = cmp.Or(unknown, err)
		return text
	}
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
		case replyOwnTime:
			r.OwnTime = microseconds(v)
		case replyServiceTime:
			load.ServiceTime = microseconds(v)
		case replyKind:
			failure.Kind = kind.Kind(numbered(v))
		case replyRun:
			failure.Run = kind.RunState(numbered(v))
		}
	}, func(field protowire.Number, v []byte) error {
		switch field {
		case replyHeader:
			return t.decodeHeader(v, &response.Header)
		case replyKind:
			failure.Kind = kind.Kind(t.received(v))
		case replyRun:
			failure.Run = kind.RunState(t.received(v))
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
			return decodeVisit(v, t, &r.Visited)
		case replyCutoffs:
			return decodeServiceCutoff(v, t, &r.Cutoffs)
		}
		return nil
	})
	if err == nil {
		err = unknown
	}
	switch {
	case err != nil:
	case failure.Kind != "":
		r.Failure = failure
	case response.Status >= 200:
		r.Response = response
	default:
		err = errFrame
	}
	return r, err
}

func encodeCutoff(c float64) uint64 { return uint64(max(0, c)/cutoffUnit + 0.5) }

func decodeCutoff(v uint64) float64 { return float64(min(v, 1<<20)) * cutoffUnit }

func decodeServiceCutoff(b []byte, t *texts, to *[]message.ServiceCutoff) error {
	var c message.ServiceCutoff
	err := decodeNamed(b, t, &c.Service, func(field protowire.Number, v uint64) {
		switch field {
		case cutoffValue:
			c.Cutoff = decodeCutoff(v)
		case cutoffAge:
			c.Age = time.Duration(min(v, uint64(maxTimeLeft.Milliseconds()))) * time.Millisecond
		}
	})
	*to = append(*to, c)
	return err
}

func decodeVisit(b []byte, t *texts, to *[]message.Visit) error {
	var visit message.Visit
	err := decodeNamed(b, t, &visit.Service, func(field protowire.Number, v uint64) {
		if field == visitRuns {
			visit.Runs = uint32(min(v, 1<<20))
		}
	})
	*to = append(*to, visit)
	return err
}

// decodeNamed decodes numbers that belong to a service, whose name is field
// nameField.
func decodeNamed(b []byte, t *texts, name *string, number func(protowire.Number, uint64)) error {
	var unknown error
	err := walk(b, func(field protowire.Number, v uint64) {
		if field == nameField {
			*name, unknown = t.numbered(v)
			return
		}
		number(field, v)
	}, func(field protowire.Number, v []byte) error {
		if field == nameField {
			*name = t.received(v)
		}
		return nil
	})
	return cmp.Or(err, unknown)
}

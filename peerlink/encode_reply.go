package peerlink

import (
	"bytes"
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
	replyCrashReport
	replyNotice
)

// Field numbers of a message.ServiceCutoff and of a message.Visit.
const (
	serviceNameField protowire.Number = 1
	cutoffValue      protowire.Number = 2
	cutoffAge        protowire.Number = 3
	visitRuns        protowire.Number = 2
)

// cutoffResolution is the unit of a cutoff on the wire.
const cutoffResolution = 1.0 / 256

// appendReply encodes a reply without the response body.
func appendReply(b []byte, t *stringTable, r *message.Reply) []byte {
	if r.Response != nil {
		b = appendUint(b, replyStatus, uint64(r.Response.Status))
		b = t.appendHeader(b, replyHeader, r.Response.Header)
	}
	if f := r.Failure; f != nil {
		b = t.appendString(b, replyKind, string(f.Kind))
		b = t.appendString(b, replyRun, string(f.Run))
		b = appendString(b, replyDetail, f.Detail)
		b = appendUint(b, replyRetryAfter, uint64(max(0, f.RetryAfter.Microseconds())))
	}
	if l := r.Load; l != nil {
		b = appendBool(b, replyHasLoad, true)
		b = appendUint(b, replyRunning, uint64(l.Running))
		b = appendUint(b, replyWaiting, uint64(l.Waiting))
		b = appendUint(b, replyLimit, uint64(l.Limit))
		b = appendUint(b, replyLevel, uint64(l.Level))
		b = appendUint(b, replyCutoff, encodeCutoff(l.Cutoff))
		b = appendUint(b, replyServiceTime, uint64(max(0, l.ServiceTime.Microseconds())))
		var counts []byte
		for _, n := range l.ByImportance {
			counts = protowire.AppendVarint(counts, uint64(n))
		}
		if len(counts) > 0 {
			b = appendBytes(b, replyByImportance, counts)
		}
	}
	for _, v := range r.Visited {
		var inner []byte
		inner = t.appendString(inner, serviceNameField, v.Service)
		inner = appendUint(inner, visitRuns, uint64(v.Runs))
		b = appendBytes(b, replyVisited, inner)
	}
	for _, c := range r.Cutoffs {
		var inner []byte
		inner = t.appendString(inner, serviceNameField, c.Service)
		inner = appendUint(inner, cutoffValue, encodeCutoff(c.Cutoff))
		inner = appendUint(inner, cutoffAge, uint64(max(0, c.Age.Milliseconds())))
		b = appendBytes(b, replyCutoffs, inner)
	}
	b = appendNotice(b, replyNotice, r.Notice)
	if len(r.CrashReport) > 0 {
		b = appendBytes(b, replyCrashReport, r.CrashReport)
	}
	b = appendUint(b, replyOwnTime, uint64(max(0, r.OwnTime.Microseconds())))
	return appendBool(b, replyDependencyFailed, r.DependencyFailed)
}

func decodeMicroseconds(v uint64) time.Duration {
	return time.Duration(min(v, uint64(maxDuration.Microseconds()))) * time.Microsecond
}

func decodeReply(f frame, t *stringTable) (*message.Reply, error) {
	r := &message.Reply{}
	var lookupErr error
	lookup := func(index uint64) string {
		s, err := t.lookup(index)
		lookupErr = cmp.Or(lookupErr, err)
		return s
	}
	response := &message.Response{Body: f.body, FromTarget: true}
	failure := &kind.Error{}
	load := &message.Load{}
	err := walkFields(f.payload, func(field protowire.Number, v uint64) {
		switch field {
		case replyStatus:
			response.Status = int(min(v, 999))
		case replyRetryAfter:
			failure.RetryAfter = decodeMicroseconds(v)
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
			r.OwnTime = decodeMicroseconds(v)
		case replyServiceTime:
			load.ServiceTime = decodeMicroseconds(v)
		case replyKind:
			failure.Kind = kind.Kind(lookup(v))
		case replyRun:
			failure.Run = kind.RunState(lookup(v))
		}
	}, func(field protowire.Number, v []byte) error {
		switch field {
		case replyHeader:
			return t.decodeHeader(v, &response.Header)
		case replyKind:
			failure.Kind = kind.Kind(t.addReceived(v))
		case replyRun:
			failure.Run = kind.RunState(t.addReceived(v))
		case replyDetail:
			failure.Detail = string(v)
		case replyByImportance:
			for len(v) > 0 {
				n, size := protowire.ConsumeVarint(v)
				if size < 0 {
					return errMalformedFrame
				}
				load.ByImportance = append(load.ByImportance, uint32(n))
				v = v[size:]
			}
		case replyNotice:
			var err error
			r.Notice, err = decodeNotice(v)
			return err
		case replyCrashReport:
			r.CrashReport = bytes.Clone(v)
		case replyVisited:
			return decodeVisit(v, t, &r.Visited)
		case replyCutoffs:
			return decodeServiceCutoff(v, t, &r.Cutoffs)
		}
		return nil
	})
	if err == nil {
		err = lookupErr
	}
	switch {
	case err != nil:
	case failure.Kind != "":
		r.Failure = failure
	case response.Status >= 200:
		r.Response = response
	default:
		err = errMalformedFrame
	}
	return r, err
}

func encodeCutoff(c float64) uint64 { return uint64(max(0, c)/cutoffResolution + 0.5) }

func decodeCutoff(v uint64) float64 { return float64(min(v, 1<<20)) * cutoffResolution }

func decodeServiceCutoff(b []byte, t *stringTable, dst *[]message.ServiceCutoff) error {
	var c message.ServiceCutoff
	err := decodeServiceFields(b, t, &c.Service, func(field protowire.Number, v uint64) {
		switch field {
		case cutoffValue:
			c.Cutoff = decodeCutoff(v)
		case cutoffAge:
			c.Age = time.Duration(min(v, uint64(maxDuration.Milliseconds()))) * time.Millisecond
		}
	})
	*dst = append(*dst, c)
	return err
}

func decodeVisit(b []byte, t *stringTable, dst *[]message.Visit) error {
	var visit message.Visit
	err := decodeServiceFields(b, t, &visit.Service, func(field protowire.Number, v uint64) {
		if field == visitRuns {
			visit.Runs = uint32(min(v, 1<<20))
		}
	})
	*dst = append(*dst, visit)
	return err
}

// decodeServiceFields decodes a message with a service name in serviceNameField
// and integers in its other fields.
func decodeServiceFields(b []byte, t *stringTable, name *string, visit func(protowire.Number, uint64)) error {
	var lookupErr error
	err := walkFields(b, func(field protowire.Number, v uint64) {
		if field == serviceNameField {
			*name, lookupErr = t.lookup(v)
			return
		}
		visit(field, v)
	}, func(field protowire.Number, v []byte) error {
		if field == serviceNameField {
			*name = t.addReceived(v)
		}
		return nil
	})
	return cmp.Or(err, lookupErr)
}

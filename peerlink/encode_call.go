package peerlink

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/goldcrestsail/goldcrestsail/message"
)

// Field numbers of a call.
const (
	callRequestID protowire.Number = iota + 1
	callMethod
	callURI
	callHost
	callHeader
	callTimeLeft
	callService
	callCallerService
	callUnsafe
	callImportance
	callChainLevel
	callAdmitted
	callMaxWait
	callRepeat
)

// appendCall encodes a call without its body. The time left is in microseconds,
// so that the clocks of the two nodes need not agree.
func appendCall(b []byte, t *texts, c *message.Call, now time.Time) []byte {
	b = appendText(b, callRequestID, c.ID)
	b = t.append(b, callMethod, c.Method)
	b = appendText(b, callURI, c.URI)
	b = t.append(b, callHost, c.Host)
	b = t.appendHeader(b, callHeader, c.Header)
	b = appendNumber(b, callTimeLeft, uint64(max(0, c.Deadline.Sub(now).Microseconds())))
	b = t.append(b, callService, c.Service)
	b = t.append(b, callCallerService, c.CallerService)
	b = appendFlag(b, callUnsafe, c.Unsafe)
	b = appendNumber(b, callImportance, uint64(c.Importance))
	b = appendNumber(b, callChainLevel, uint64(c.ChainLevel))
	b = appendNumber(b, callMaxWait, uint64(max(0, c.MaxWait.Microseconds())))
	b = appendFlag(b, callRepeat, c.Repeat)
	return appendFlag(b, callAdmitted, c.Admitted)
}

// maxTimeLeft bounds the time left of a call to a day.
const maxTimeLeft = 24 * time.Hour

// decodeCall decodes a call that arrived at now.
func decodeCall(f frame, t *texts, now time.Time) (*message.Call, error) {
	c := &message.Call{}
	var unknown error
	numbered := func(to *string, n uint64) {
		text, err := t.numbered(n)
		*to, unknown = text, cmp.Or(unknown, err)
	}
	c.Body, c.Arrived = f.body, now
	left := time.Duration(0)
	err := walk(f.payload, func(field protowire.Number, v uint64) {
		switch field {
		case callTimeLeft:
			left = min(time.Duration(min(v, uint64(maxTimeLeft.Microseconds())))*time.Microsecond, maxTimeLeft)
		case callUnsafe:
			c.Unsafe = v != 0
		case callImportance:
			c.Importance = uint8(min(v, 255))
		case callChainLevel:
			c.ChainLevel = uint8(min(v, 255))
		case callRepeat:
			c.Repeat = v != 0
		case callMaxWait:
			c.MaxWait = microseconds(v)
		case callAdmitted:
			c.Admitted = v != 0
		case callMethod:
			numbered(&c.Method, v)
		case callHost:
			numbered(&c.Host, v)
		case callService:
			numbered(&c.Service, v)
		case callCallerService:
			numbered(&c.CallerService, v)
		}
	}, func(field protowire.Number, v []byte) error {
		switch field {
		case callRequestID:
			c.ID = string(v)
		case callMethod:
			c.Method = t.received(v)
		case callURI:
			c.URI = string(v)
		case callHost:
			c.Host = t.received(v)
		case callService:
			c.Service = t.received(v)
		case callCallerService:
			c.CallerService = t.received(v)
		case callHeader:
			return t.decodeHeader(v, &c.Header)
		}
		return nil
	})
	c.Deadline = now.Add(left)
	if err == nil {
		err = unknown
	}
	if err == nil && (c.Method == "" || c.URI == "" || c.Service == "") {
		err = errFrame
	}
	return c, err
}

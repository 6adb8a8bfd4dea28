package peerlink

import (
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

// encodeCall encodes a call without its body. The time left is in microseconds,
// so that the clocks of the two nodes need not agree.
func encodeCall(c *message.Call, now time.Time) []byte {
	b := make([]byte, 0, 256)
	b = appendText(b, callRequestID, c.ID)
	b = appendText(b, callMethod, c.Method)
	b = appendText(b, callURI, c.URI)
	b = appendText(b, callHost, c.Host)
	b = appendHeader(b, callHeader, c.Header)
	b = appendNumber(b, callTimeLeft, uint64(max(0, c.Deadline.Sub(now).Microseconds())))
	b = appendText(b, callService, c.Service)
	b = appendText(b, callCallerService, c.CallerService)
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
func decodeCall(f frame, now time.Time) (*message.Call, error) {
	c := &message.Call{}
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
		}
	}, func(field protowire.Number, v []byte) error {
		switch field {
		case callRequestID:
			c.ID = string(v)
		case callMethod:
			c.Method = string(v)
		case callURI:
			c.URI = string(v)
		case callHost:
			c.Host = string(v)
		case callService:
			c.Service = string(v)
		case callCallerService:
			c.CallerService = string(v)
		case callHeader:
			return decodeField(v, &c.Header)
		}
		return nil
	})
	c.Deadline = now.Add(left)
	if err == nil && (c.Method == "" || c.URI == "" || c.Service == "") {
		err = errFrame
	}
	return c, err
}

// Field numbers of a header field.
const (
	headerName  protowire.Number = 1
	headerValue protowire.Number = 2
)

func appendHeader(b []byte, field protowire.Number, header []message.Field) []byte {
	for _, f := range header {
		var inner []byte
		inner = appendText(inner, headerName, f.Name)
		inner = appendText(inner, headerValue, f.Value)
		b = appendMessage(b, field, inner)
	}
	return b
}

func decodeField(b []byte, to *[]message.Field) error {
	var f message.Field
	err := walk(b, func(protowire.Number, uint64) {}, func(field protowire.Number, v []byte) error {
		switch field {
		case headerName:
			f.Name = string(v)
		case headerValue:
			f.Value = string(v)
		}
		return nil
	})
	*to = append(*to, f)
	return err
}

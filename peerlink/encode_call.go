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
	callKnownCrashes
	callNotice
	callWaitForRate
)

// appendCall encodes a call without its body. The deadline is sent as the time left
// in microseconds, so that the clocks of the two nodes need not agree.
func appendCall(b []byte, t *stringTable, c *message.Call, now time.Time) []byte {
	b = appendString(b, callRequestID, c.ID)
	b = t.appendString(b, callMethod, c.Method)
	b = appendString(b, callURI, c.URI)
	b = t.appendString(b, callHost, c.Host)
	b = t.appendHeader(b, callHeader, c.Header)
	b = appendUint(b, callTimeLeft, uint64(max(0, c.Deadline.Sub(now).Microseconds())))
	b = t.appendString(b, callService, c.Service)
	b = t.appendString(b, callCallerService, c.CallerService)
	b = appendBool(b, callUnsafe, c.Unsafe)
	b = appendUint(b, callImportance, uint64(c.Importance))
	b = appendUint(b, callChainLevel, uint64(c.ChainLevel))
	b = appendUint(b, callMaxWait, uint64(max(0, c.MaxWait.Microseconds())))
	b = appendBool(b, callRepeat, c.Repeat)
	b = appendNotice(b, callNotice, c.Notice)
	b = appendBool(b, callWaitForRate, c.WaitForRate)
	b = appendUint(b, callKnownCrashes, uint64(max(0, c.KnownCrashes)))
	return appendBool(b, callAdmitted, c.Admitted)
}

// maxKnownCrashes bounds the crash count accepted from a peer.
const maxKnownCrashes = 255

// maxDuration bounds the durations accepted from a peer.
const maxDuration = 24 * time.Hour

// decodeCall decodes a call that arrived at now.
func decodeCall(f frame, t *stringTable, now time.Time) (*message.Call, error) {
	c := &message.Call{}
	var lookupErr error
	lookup := func(dst *string, index uint64) {
		s, err := t.lookup(index)
		*dst, lookupErr = s, cmp.Or(lookupErr, err)
	}
	c.Body, c.Arrived = f.body, now
	timeLeft := time.Duration(0)
	err := walkFields(f.payload, func(field protowire.Number, v uint64) {
		switch field {
		case callTimeLeft:
			timeLeft = min(time.Duration(min(v, uint64(maxDuration.Microseconds())))*time.Microsecond, maxDuration)
		case callUnsafe:
			c.Unsafe = v != 0
		case callImportance:
			c.Importance = uint8(min(v, 255))
		case callChainLevel:
			c.ChainLevel = uint8(min(v, 255))
		case callWaitForRate:
			c.WaitForRate = v != 0
		case callRepeat:
			c.Repeat = v != 0
		case callKnownCrashes:
			c.KnownCrashes = int(min(v, maxKnownCrashes))
		case callMaxWait:
			c.MaxWait = decodeMicroseconds(v)
		case callAdmitted:
			c.Admitted = v != 0
		case callMethod:
			lookup(&c.Method, v)
		case callHost:
			lookup(&c.Host, v)
		case callService:
			lookup(&c.Service, v)
		case callCallerService:
			lookup(&c.CallerService, v)
		}
	}, func(field protowire.Number, v []byte) error {
		switch field {
		case callRequestID:
			c.ID = string(v)
		case callMethod:
			c.Method = t.addReceived(v)
		case callURI:
			c.URI = string(v)
		case callHost:
			c.Host = t.addReceived(v)
		case callService:
			c.Service = t.addReceived(v)
		case callCallerService:
			c.CallerService = t.addReceived(v)
		case callNotice:
			var err error
			c.Notice, err = decodeNotice(v)
			return err
		case callHeader:
			return t.decodeHeader(v, &c.Header)
		}
		return nil
	})
	c.Deadline = now.Add(timeLeft)
	if err == nil {
		err = lookupErr
	}
	if err == nil && (c.Method == "" || c.URI == "" || c.Service == "") {
		err = errMalformedFrame
	}
	return c, err
}

package peerlink

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/goldcrestsail/goldcrestsail/message"
)

// Field numbers of a message.TargetNotice.
const (
	noticeTarget protowire.Number = iota + 1
	noticeRate
	noticeLeaving
)

// rateResolution is the unit of a rate on the wire, in requests per second.
const rateResolution = 1e-3

// maxRatePerSecond bounds the rates that are sent and accepted.
const maxRatePerSecond = 1e9

// appendNotice encodes a notice in the given field. A rate is rounded up, so that it
// does not become 0.
func appendNotice(b []byte, field protowire.Number, n *message.TargetNotice) []byte {
	if n == nil {
		return b
	}
	var inner []byte
	inner = appendUint(inner, noticeTarget, n.Target)
	inner = appendUint(inner, noticeRate, uint64(math.Ceil(min(max(n.RatePerSecond, 0), maxRatePerSecond)/rateResolution)))
	inner = appendBool(inner, noticeLeaving, n.Leaving)
	return appendBytes(b, field, inner)
}

func decodeNotice(b []byte) (*message.TargetNotice, error) {
	n := &message.TargetNotice{}
	err := walkFields(b, func(field protowire.Number, v uint64) {
		switch field {
		case noticeTarget:
			n.Target = v
		case noticeRate:
			n.RatePerSecond = min(float64(v)*rateResolution, maxRatePerSecond)
		case noticeLeaving:
			n.Leaving = v != 0
		}
	}, func(protowire.Number, []byte) error { return nil })
	return n, err
}

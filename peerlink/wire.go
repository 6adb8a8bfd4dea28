package peerlink

import (
	"google.golang.org/protobuf/encoding/protowire"
)

func appendString(b []byte, field protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), v)
}

func appendUint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendBool(b []byte, field protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	return appendUint(b, field, 1)
}

func appendBytes(b []byte, field protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}

// walkFields calls visitVarint or visitBytes for each field of a message. Fields
// of other wire types come from a newer version and are skipped.
func walkFields(b []byte, visitVarint func(protowire.Number, uint64), visitBytes func(protowire.Number, []byte) error) error {
	for len(b) > 0 {
		field, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformedFrame
		}
		b = b[n:]
		switch wireType {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return errMalformedFrame
			}
			visitVarint(field, v)
			b = b[n:]
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return errMalformedFrame
			}
			if err := visitBytes(field, v); err != nil {
				return err
			}
			b = b[n:]
		default:
			n := protowire.ConsumeFieldValue(field, wireType, b)
			if n < 0 {
				return errMalformedFrame
			}
			b = b[n:]
		}
	}
	return nil
}

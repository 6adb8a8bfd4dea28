package peerlink

import (
	"google.golang.org/protobuf/encoding/protowire"
)

func appendText(b []byte, field protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), v)
}

func appendNumber(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendFlag(b []byte, field protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	return appendNumber(b, field, 1)
}

func appendMessage(b []byte, field protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), v)
}

// walk calls one of the two functions for each field of a message. Fields of
// other wire types come from a newer version and are skipped.
func walk(b []byte, number func(protowire.Number, uint64), text func(protowire.Number, []byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errFrame
		}
		b = b[n:]
		switch kind {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return errFrame
			}
			number(field, v)
			b = b[n:]
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return errFrame
			}
			if err := text(field, v); err != nil {
				return err
			}
			b = b[n:]
		default:
			n := protowire.ConsumeFieldValue(field, kind, b)
			if n < 0 {
				return errFrame
			}
			b = b[n:]
		}
	}
	return nil
}

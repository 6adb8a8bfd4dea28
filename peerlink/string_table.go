package peerlink

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// maxTableStrings and maxTableStringBytes bound the string table that each end
	// of a connection keeps for each direction. They admit a few hundred names of
	// services, hosts and header fields of typical length.
	maxTableStrings     = 512
	maxTableStringBytes = 128
)

// stringTable replaces strings that were sent before on a connection by their index.
// Names of services, hosts and header fields are in every message, and traffic
// between failure domains is expensive. Both ends add the same strings in the same
// order, so messages have to be encoded in the order in which they are sent.
//
// Its idea is that of the dynamic table of HPACK (RFC 7541), without eviction:
// the strings of a connection rarely change.
type stringTable struct {
	strings []string
	indexes map[string]uint64
	// last holds the latest value of each header field.
	last map[string]string
}

// add adds a string that was sent in full, unless it is too long or the table is
// full.
func (t *stringTable) add(v string) {
	if len(t.strings) >= maxTableStrings || len(v) > maxTableStringBytes {
		return
	}
	if t.indexes == nil {
		t.indexes = map[string]uint64{}
	}
	if _, known := t.indexes[v]; known {
		return
	}
	t.indexes[v] = uint64(len(t.strings))
	t.strings = append(t.strings, v)
}

// appendString encodes a string field as an index if the table has the string, and
// otherwise in full.
func (t *stringTable) appendString(b []byte, field protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	if n, known := t.indexes[v]; known {
		return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), n)
	}
	t.add(v)
	return appendString(b, field, v)
}

// lookup returns the string at index.
func (t *stringTable) lookup(n uint64) (string, error) {
	if n >= uint64(len(t.strings)) {
		return "", errMalformedFrame
	}
	return t.strings[n], nil
}

// addReceived adds a string that was received in full, and returns it.
func (t *stringTable) addReceived(v []byte) string {
	s := string(v)
	t.add(s)
	return s
}

// Field numbers of a header field.
const (
	headerName  protowire.Number = 1
	headerValue protowire.Number = 2
	headerSame  protowire.Number = 3
)

// appendHeader encodes header fields. One that has the value that it had last on
// the connection is sent without it.
func (t *stringTable) appendHeader(b []byte, field protowire.Number, header []message.Field) []byte {
	var inner []byte
	for _, f := range header {
		inner = t.appendString(inner[:0], headerName, f.Name)
		if same := t.setLast(f); same {
			inner = appendBool(inner, headerSame, true)
		} else {
			inner = appendString(inner, headerValue, f.Value)
		}
		b = appendBytes(b, field, inner)
	}
	return b
}

// setLast records the value of a header field and reports whether it is the same
// as before.
func (t *stringTable) setLast(f message.Field) (same bool) {
	value, known := t.last[f.Name]
	if known && value == f.Value {
		return true
	}
	if (known || len(t.last) < maxTableStrings) && len(f.Value) <= maxTableStringBytes {
		if t.last == nil {
			t.last = map[string]string{}
		}
		t.last[f.Name] = f.Value
	} else {
		delete(t.last, f.Name)
	}
	return false
}

// decodeHeader decodes a header field.
func (t *stringTable) decodeHeader(b []byte, to *[]message.Field) error {
	var f message.Field
	same := false
	var lookupErr error
	err := walkFields(b, func(field protowire.Number, v uint64) {
		switch field {
		case headerName:
			f.Name, lookupErr = t.lookup(v)
		case headerSame:
			same = v != 0
		}
	}, func(field protowire.Number, v []byte) error {
		switch field {
		case headerName:
			f.Name = t.addReceived(v)
		case headerValue:
			f.Value = string(v)
		}
		return nil
	})
	if err == nil {
		err = lookupErr
	}
	if err != nil {
		return err
	}
	if same {
		value, known := t.last[f.Name]
		if !known {
			return errMalformedFrame
		}
		f.Value = value
	}
	t.setLast(f)
	*to = append(*to, f)
	return nil
}

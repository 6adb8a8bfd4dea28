package peerlink

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// maxTexts and maxTextBytes bound the texts that each end of a connection
	// remembers in each direction: some hundred names of services, hosts and
	// header fields of usual length.
	maxTexts     = 512
	maxTextBytes = 128
)

// texts replaces texts that were sent before on a connection by their number.
// Names of services, hosts and header fields are in every message, and bytes
// between failure domains are dear. Both ends add the same texts in the same
// order, so messages have to be encoded in the order in which they are sent.
//
// Its idea is that of the dynamic table of HPACK (RFC 7541), without eviction:
// the texts of a connection hardly change.
type texts struct {
	list    []string
	numbers map[string]uint64
	// last holds the latest value of each header field.
	last map[string]string
}

// remember adds a text that was sent in full.
func (t *texts) remember(v string) {
	if len(t.list) >= maxTexts || len(v) > maxTextBytes {
		return
	}
	if t.numbers == nil {
		t.numbers = map[string]uint64{}
	}
	if _, known := t.numbers[v]; known {
		return
	}
	t.numbers[v] = uint64(len(t.list))
	t.list = append(t.list, v)
}

// append encodes a text, by its number if it has one.
func (t *texts) append(b []byte, field protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	if n, known := t.numbers[v]; known {
		return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), n)
	}
	t.remember(v)
	return appendText(b, field, v)
}

// numbered returns the text with a number.
func (t *texts) numbered(n uint64) (string, error) {
	if n >= uint64(len(t.list)) {
		return "", errFrame
	}
	return t.list[n], nil
}

// received returns a text that was sent in full, and remembers it.
func (t *texts) received(v []byte) string {
	s := string(v)
	t.remember(s)
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
func (t *texts) appendHeader(b []byte, field protowire.Number, header []message.Field) []byte {
	var inner []byte
	for _, f := range header {
		inner = t.append(inner[:0], headerName, f.Name)
		if same := t.setLast(f); same {
			inner = appendFlag(inner, headerSame, true)
		} else {
			inner = appendText(inner, headerValue, f.Value)
		}
		b = appendMessage(b, field, inner)
	}
	return b
}

// setLast records the value of a header field and reports whether it is the one
// that the field had before.
func (t *texts) setLast(f message.Field) (same bool) {
	value, known := t.last[f.Name]
	if known && value == f.Value {
		return true
	}
	if (known || len(t.last) < maxTexts) && len(f.Value) <= maxTextBytes {
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
func (t *texts) decodeHeader(b []byte, to *[]message.Field) error {
	var f message.Field
	same := false
	var unknown error
	err := walk(b, func(field protowire.Number, v uint64) {
		switch field {
		case headerName:
			f.Name, unknown = t.numbered(v)
		case headerSame:
			same = v != 0
		}
	}, func(field protowire.Number, v []byte) error {
		switch field {
		case headerName:
			f.Name = t.received(v)
		case headerValue:
			f.Value = string(v)
		}
		return nil
	})
	if err == nil {
		err = unknown
	}
	if err != nil {
		return err
	}
	if same {
		value, known := t.last[f.Name]
		if !known {
			return errFrame
		}
		f.Value = value
	}
	t.setLast(f)
	*to = append(*to, f)
	return nil
}

package peerlink

import (
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/goldcrestsail/goldcrestsail/message"
)

// frameKind is the kind of one message on a connection.
type frameKind uint64

const (
	frameCall frameKind = iota + 1
	frameReply
	frameCancel
	framePing
	framePong
	frameConfigRequest
	frameConfig
)

const (
	// lengthBytes is the size of the length before each message.
	lengthBytes = 4
	// maxFrameBytes bounds a message: the largest body and its header.
	maxFrameBytes = 72 << 20
)

// frame is one message.
type frame struct {
	kind frameKind
	id   uint64
	// call and reply are what is to be sent; they are encoded as they are written.
	call  *message.Call
	reply *message.Reply
	// payload is what was received, encoded by kind.
	payload []byte
	// body is sent behind the payload without being copied.
	body []byte
}

var errFrame = errors.New("malformed peer message")

// readFrame reads one message.
func readFrame(r io.Reader) (frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n < 1 || n > maxFrameBytes {
		return frame{}, errFrame
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return frame{}, err
	}
	kind, a := binary.Uvarint(data)
	if a <= 0 {
		return frame{}, errFrame
	}
	id, b := binary.Uvarint(data[a:])
	if b <= 0 {
		return frame{}, errFrame
	}
	bodyLength, c := binary.Uvarint(data[a+b:])
	rest := data[a+b+max(c, 0):]
	if c <= 0 || bodyLength > uint64(len(rest)) {
		return frame{}, errFrame
	}
	at := len(rest) - int(bodyLength)
	return frame{kind: frameKind(kind), id: id, payload: rest[:at], body: rest[at:]}, nil
}

// encode encodes the call or reply of a message behind b.
func (f frame) encode(b []byte, t *texts, now time.Time) []byte {
	switch {
	case f.call != nil:
		return appendCall(b, t, f.call, now)
	case f.reply != nil:
		return appendReply(b, t, f.reply)
	}
	return b
}

// appendFrame encodes everything of a message but its body.
func appendFrame(b []byte, f frame) []byte {
	var head [3 * binary.MaxVarintLen64]byte
	h := binary.AppendUvarint(head[:0], uint64(f.kind))
	h = binary.AppendUvarint(h, f.id)
	h = binary.AppendUvarint(h, uint64(len(f.body)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(h)+len(f.payload)+len(f.body)))
	b = append(b, h...)
	return append(b, f.payload...)
}

package peerlink

import (
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// frameKind is the kind of a frame.
type frameKind uint64

const (
	frameCall frameKind = iota + 1
	frameReply
	frameCancel
	framePing
	framePong
	frameConfigRequest
	frameConfig
	// frameWatch holds the version that the follower has, frameWatched the outcome.
	frameWatch
	frameWatched
	// frameGoAway tells the client that the server is about to close the connection
	// and serves no further calls.
	frameGoAway
	// frameDeparturesRequest holds the name of an instance, frameDepartures the
	// departures that the peer knows of it.
	frameDeparturesRequest
	frameDepartures
)

const (
	// lengthPrefixBytes is the size of the length prefix of a frame.
	lengthPrefixBytes = 4
	// maxFrameBytes bounds a frame: the largest body and its header.
	maxFrameBytes = 72 << 20
	// maxWholeFrameBytes is the size up to which a frame is read at once. Nothing of it
	// counts against the budget.
	maxWholeFrameBytes = 64 << 10
)

// frame is the unit of transmission on a connection.
type frame struct {
	kind frameKind
	id   uint64
	// call or reply is the message of an outgoing frame. It is encoded when the
	// frame is written.
	call  *message.Call
	reply *message.Reply
	// payload is the encoded call or reply without its body.
	payload []byte
	// body follows the payload. It is written without being copied.
	body []byte
	// memory is the memory that body takes up in the process's budget.
	memory *bytebudget.Reservation
	// noRoom reports that the budget had no room for the body, which has been dropped.
	noRoom bool
}

var errMalformedFrame = errors.New("malformed peer message")

// readFrame reads one frame. Memory is allocated as the bytes arrive, not by the
// length that the peer announces.
func readFrame(r io.Reader, budget *bytebudget.Budget) (frame, error) {
	var length [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n < 1 || n > maxFrameBytes {
		return frame{}, errMalformedFrame
	}
	if n > maxWholeFrameBytes {
		return readLongFrame(&io.LimitedReader{R: r, N: int64(n)}, budget)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return frame{}, err
	}
	kind, kindSize := binary.Uvarint(data)
	if kindSize <= 0 {
		return frame{}, errMalformedFrame
	}
	id, idSize := binary.Uvarint(data[kindSize:])
	if idSize <= 0 {
		return frame{}, errMalformedFrame
	}
	bodyLength, lengthSize := binary.Uvarint(data[kindSize+idSize:])
	rest := data[kindSize+idSize+max(lengthSize, 0):]
	if lengthSize <= 0 || bodyLength > uint64(len(rest)) {
		return frame{}, errMalformedFrame
	}
	payloadLength := len(rest) - int(bodyLength)
	return frame{kind: frameKind(kind), id: id, payload: rest[:payloadLength], body: rest[payloadLength:]}, nil
}

// readLongFrame reads a frame in parts, so that a body for which there is no room fails
// its own call alone.
func readLongFrame(r *io.LimitedReader, budget *bytebudget.Budget) (frame, error) {
	var header [3]uint64
	for i := range header {
		v, err := binary.ReadUvarint(byteReader{r})
		if err != nil {
			return frame{}, err
		}
		header[i] = v
	}
	f := frame{kind: frameKind(header[0]), id: header[1]}
	bodyLength := int64(header[2])
	if bodyLength < 0 || bodyLength > r.N {
		return frame{}, errMalformedFrame
	}
	payloadLength := r.N - bodyLength
	payload, memory, err := bytebudget.ReadBody(io.LimitReader(r, payloadLength), payloadLength, maxFrameBytes, budget)
	if err != nil {
		return frame{}, err
	}
	// The payload is decoded before the next frame is read, and not kept.
	memory.Release()
	f.payload = payload
	f.body, f.memory, err = bytebudget.ReadBody(r, bodyLength, maxFrameBytes, budget)
	if errors.Is(err, bytebudget.ErrExhausted) && (f.kind == frameCall || f.kind == frameReply) {
		f.noRoom = true
		_, err = io.Copy(io.Discard, r)
	}
	if err == nil && r.N > 0 {
		f.memory.Release()
		err = io.ErrUnexpectedEOF
	}
	return f, err
}

// byteReader reads single bytes of a buffered reader.
type byteReader struct{ r io.Reader }

// ReadByte implements io.ByteReader.
func (b byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b.r, one[:])
	return one[0], err
}

// appendPayload appends the encoded call or reply of f to b.
func (f frame) appendPayload(b []byte, t *stringTable, now time.Time) []byte {
	switch {
	case f.call != nil:
		return appendCall(b, t, f.call, now)
	case f.reply != nil:
		return appendReply(b, t, f.reply)
	}
	return b
}

// appendFrame appends f without its body to b.
func appendFrame(b []byte, f frame) []byte {
	var buffer [3 * binary.MaxVarintLen64]byte
	header := binary.AppendUvarint(buffer[:0], uint64(f.kind))
	header = binary.AppendUvarint(header, f.id)
	header = binary.AppendUvarint(header, uint64(len(f.body)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(header)+len(f.payload)+len(f.body)))
	b = append(b, header...)
	return append(b, f.payload...)
}

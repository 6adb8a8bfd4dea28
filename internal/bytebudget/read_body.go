package bytebudget

import (
	"errors"
	"io"
	"sync"
)

const (
	// freeBodyBytes is the part of each body that is not counted. The number of
	// requests in progress bounds it.
	freeBodyBytes = 64 << 10
	// firstBlockBytes is the size of the first block of a body of unknown length.
	firstBlockBytes = 4 << 10
	// blockBytes is the size of the blocks in which a long body is read.
	blockBytes = 256 << 10
)

var (
	// ErrTooLarge means that a body is longer than its own limit.
	ErrTooLarge = errors.New("body exceeds the size limit")
	// ErrExhausted means that the bodies of the process together exceed the budget.
	ErrExhausted = errors.New("no memory left for message bodies")
)

// ReadBody reads r to its end. expected is the announced length in bytes, or a
// negative number if there is none; it is not trusted. A body of more than
// maxBytes gives ErrTooLarge, one for which the budget has no room ErrExhausted.
// The caller releases the reservation when it no longer holds the body.
//
// A long body is read in blocks, since growing a slice would hold a body twice at
// every step, and is joined once it is complete.
func ReadBody(r io.Reader, expected int64, maxBytes int, budget *Budget) ([]byte, *Reservation, error) {
	if expected > int64(maxBytes) {
		return nil, nil, ErrTooLarge
	}
	first := make([]byte, firstBlockSize(expected))
	n, err := readBlock(r, &first)
	if err != nil {
		return nil, nil, err
	}
	if n < len(first) {
		if n > maxBytes {
			return nil, nil, ErrTooLarge
		}
		return first[:n], nil, nil
	}
	var reservation *Reservation
	if budget != nil {
		reservation = newReservation(budget)
	}
	body, err := readBlocks(r, first, maxBytes, reservation)
	if err != nil {
		reservation.Release()
		return nil, nil, err
	}
	return body, reservation, nil
}

// firstBlockSize leaves one byte more than the expected length, so that the end of
// the body is seen.
func firstBlockSize(expected int64) int {
	if expected < 0 {
		return firstBlockBytes
	}
	return int(min(expected, freeBodyBytes)) + 1
}

// readBlock fills the block and grows it up to freeBodyBytes. It returns the number
// of bytes read, which is less than the length of the block at the end of r.
func readBlock(r io.Reader, block *[]byte) (int, error) {
	n := 0
	for {
		m, err := fill(r, (*block)[n:])
		n += m
		if err == io.EOF {
			return n, nil
		}
		if err != nil || len(*block) >= freeBodyBytes {
			return n, err
		}
		grown := make([]byte, min(2*len(*block), freeBodyBytes))
		copy(grown, *block)
		*block = grown
	}
}

// fill reads until b is full. Unlike io.ReadFull, it returns io.EOF at the end of r
// also after some bytes, so that io.ErrUnexpectedEOF keeps the meaning that it has
// for r: a truncated body.
func fill(r io.Reader, b []byte) (int, error) {
	n := 0
	for n < len(b) {
		m, err := r.Read(b[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// blockPool holds blocks that are not in use. Without it the blocks of bodies that
// have failed would remain in memory, uncounted, until the next garbage collection.
var blockPool = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// readBlocks reads the rest of a body after its first block.
func readBlocks(r io.Reader, first []byte, maxBytes int, reservation *Reservation) ([]byte, error) {
	var used []*[blockBytes]byte
	defer func() {
		for _, block := range used {
			blockPool.Put(block)
		}
	}()
	blocks, total := [][]byte{first}, len(first)
	for atEnd := false; !atEnd; {
		if total > maxBytes {
			return nil, ErrTooLarge
		}
		if reservation != nil && !reservation.grow(blockBytes) {
			return nil, ErrExhausted
		}
		block := blockPool.Get().(*[blockBytes]byte)
		used = append(used, block)
		n, err := fill(r, block[:])
		atEnd = err == io.EOF
		if err != nil && !atEnd {
			return nil, err
		}
		blocks, total = append(blocks, block[:n]), total+n
	}
	if total > maxBytes {
		return nil, ErrTooLarge
	}
	if reservation != nil && !reservation.grow(int64(total)) {
		return nil, ErrExhausted
	}
	body := make([]byte, 0, total)
	for _, block := range blocks {
		body = append(body, block...)
	}
	if reservation != nil {
		reservation.shrink(int64(len(blocks)-1) * blockBytes)
	}
	return body, nil
}

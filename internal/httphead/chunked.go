package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

const (
	// maxChunkLineBytes bounds the line with the size of a chunk and its extensions.
	maxChunkLineBytes = 256
	// maxChunkSizeDigits is the number of digits of the largest size.
	maxChunkSizeDigits = 15
)

// ChunkedReader reads a body with the coding chunked by the grammar of RFC 9112, section
// 7.1, and its trailer. It returns io.EOF after the trailer, an error of class ErrMalformed
// for bytes that the grammar does not allow, and io.ErrUnexpectedEOF for a body that ends
// early.
type ChunkedReader struct {
	r *bufio.Reader
	// left is the rest of the chunk, inChunk whether its end has not been read.
	left    int64
	inChunk bool
	// trailerBytes is how many bytes the trailer may still have.
	trailerBytes int
	err          error
}

// NewChunkedReader returns a reader of a body that begins at the position of r. Its
// trailer may have up to maxTrailerBytes.
func NewChunkedReader(r *bufio.Reader, maxTrailerBytes int) *ChunkedReader {
	return &ChunkedReader{r: r, trailerBytes: maxTrailerBytes}
}

// Read implements io.Reader.
func (c *ChunkedReader) Read(p []byte) (int, error) {
	if c.err == nil && c.left == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil {
		return 0, c.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	if err != nil {
		c.err = unexpected(err)
	}
	return n, c.err
}

// nextChunk reads the end of the last chunk and the size of the next one, or the trailer.
func (c *ChunkedReader) nextChunk() error {
	if c.inChunk {
		line, err := c.line(len("\r\n"))
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return malformed("bytes behind the end of a chunk")
		}
		c.inChunk = false
	}
	line, err := c.line(maxChunkLineBytes)
	if err != nil {
		return err
	}
	size, err := parseChunkSize(string(line))
	if err != nil {
		return err
	}
	if size == 0 {
		return c.readTrailer()
	}
	c.left, c.inChunk = size, true
	return nil
}

// readTrailer returns io.EOF behind a trailer.
func (c *ChunkedReader) readTrailer() error {
	for {
		line, err := c.line(c.trailerBytes)
		if err != nil {
			return err
		}
		c.trailerBytes -= len(line) + len("\r\n")
		if len(line) == 0 {
			return io.EOF
		}
		if _, _, err := splitField(string(line)); err != nil {
			return err
		}
	}
}

// line returns the next line without its end, CR LF. With it, the line has up to maxBytes.
func (c *ChunkedReader) line(maxBytes int) ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	switch {
	case len(line) > maxBytes, errors.Is(err, bufio.ErrBufferFull):
		return nil, malformed("a line of a chunked body above %d bytes", maxBytes)
	case err != nil:
		return nil, unexpected(err)
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, malformed("a line of a chunked body that does not end with CR LF")
	}
	return line, nil
}

// parseChunkSize parses the size of a chunk, which extensions may follow.
func parseChunkSize(line string) (int64, error) {
	digits, extensions, extended := strings.Cut(line, ";")
	if extended {
		digits = strings.TrimRight(digits, " \t")
	}
	size, err := parseDigits(digits, 16)
	if err != nil || len(digits) > maxChunkSizeDigits || !ValidField("n", extensions) {
		return 0, malformed("size of a chunk %.*q, want hexadecimal digits", maxQuotedBytes, line)
	}
	return size, nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

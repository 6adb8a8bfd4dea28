package httpconn

import (
	"errors"
	"io"
)

// lengthReader reads a body of a known length. It returns io.ErrUnexpectedEOF if the body
// ends early.
type lengthReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *lengthReader) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if errors.Is(err, io.EOF) && l.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

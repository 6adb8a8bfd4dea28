package bytebudget

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

const maxTestBody = 4 << 20

// zeros is a body without an end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// Guards against bodies that are changed, cut or miscounted at the sizes at which
// the way of reading changes.
func TestReadBodyReturnsWholeBody(t *testing.T) {
	for _, size := range []int{0, 1, firstBlockBytes - 1, firstBlockBytes, firstBlockBytes + 1, freeBodyBytes - 1, freeBodyBytes, freeBodyBytes + 1,
		freeBodyBytes + blockBytes, freeBodyBytes + blockBytes + 1, maxTestBody} {
		want := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
		for _, announced := range []int64{-1, int64(size), 1} {
			budget := New(3 * maxTestBody)
			body, reservation, err := ReadBody(iotest.HalfReader(bytes.NewReader(want)), announced, maxTestBody, budget)
			require.NoError(t, err)
			require.True(t, bytes.Equal(want, body), "%d bytes, %d announced", size, announced)
			if size > freeBodyBytes {
				require.EqualValues(t, size, budget.Used())
			}
			reservation.Release()
			reservation.Release()
			require.Zero(t, budget.Used())
		}
	}
}

// Guards against memory that is lost to the budget when a body is too long, does
// not end, or fails midway, and against a truncated body that counts as complete.
func TestReadBodyReleasesMemoryOfFailedBody(t *testing.T) {
	for name, c := range map[string]struct {
		body     io.Reader
		expected int64
		budget   int64
		want     error
	}{
		"longer than allowed":      {zeros{}, -1, 3 * maxTestBody, ErrTooLarge},
		"announced as too long":    {zeros{}, maxTestBody + 1, 3 * maxTestBody, ErrTooLarge},
		"no memory left":           {zeros{}, -1, maxTestBody / 2, ErrExhausted},
		"truncated":                {io.MultiReader(io.LimitReader(zeros{}, 3<<20), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 3 * maxTestBody, io.ErrUnexpectedEOF},
		"truncated in first block": {io.MultiReader(io.LimitReader(zeros{}, 9), iotest.ErrReader(io.ErrUnexpectedEOF)), 20, 3 * maxTestBody, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			budget := New(c.budget)
			_, _, err := ReadBody(c.body, c.expected, maxTestBody, budget)
			require.True(t, errors.Is(err, c.want), "%v", err)
			require.Zero(t, budget.Used())
		})
	}
}

// Guards against a budget that shrinks with each body that is dropped without being
// released, for example when a reply arrives after its deadline.
func TestMemoryOfDroppedBodyIsReturned(t *testing.T) {
	budget := New(3 * maxTestBody)
	_, _, err := ReadBody(io.LimitReader(zeros{}, maxTestBody), -1, maxTestBody, budget)
	require.NoError(t, err)
	for range 100 {
		runtime.GC()
		if budget.Used() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Zero(t, budget.Used())
}

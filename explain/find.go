package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Result is what was found about a request.
type Result struct {
	// Lines are in the order of time. Clocks of nodes may differ a little.
	Lines []Line
	// Skipped counts lines that are no log lines, such as cut ones.
	Skipped int
}

// Find reads a log and adds what it says about a request. The error names the
// line that could not be read.
func (r *Result) Find(source, id string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		line, ok := parse(source, scanner.Bytes())
		switch {
		case !ok:
			r.Skipped++
		case line.concerns(id):
			r.Lines = append(r.Lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return fmt.Errorf("%s, line %d: longer than %d bytes", source, number+1, maxLineBytes)
		}
		return fmt.Errorf("%s, line %d: %w", source, number+1, err)
	}
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return nil
}

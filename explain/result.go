package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Result holds the log lines of a request.
type Result struct {
	// Lines are sorted by time. Lines of different nodes may be out of order by
	// the difference of their clocks.
	Lines []Line
	// Skipped counts lines that are not valid log lines, such as truncated ones.
	Skipped int
}

// AddLog reads a log and adds its lines about the request id. Source names the log
// in the result and in errors. An error gives the number of the line that could not
// be read.
func (r *Result) AddLog(source, id string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	lineNumber := 0
	for scanner.Scan() {
		lineNumber++
		line, ok := parseLine(source, scanner.Bytes())
		switch {
		case !ok:
			r.Skipped++
		case line.belongsTo(id):
			r.Lines = append(r.Lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return fmt.Errorf("%s, line %d: longer than %d bytes", source, lineNumber+1, maxLineBytes)
		}
		return fmt.Errorf("%s, line %d: %w", source, lineNumber+1, err)
	}
	slices.SortStableFunc(r.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return nil
}

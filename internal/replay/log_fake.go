package replay

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

const (
	// appendTime and readTime are the latencies of the log service.
	appendTime = 4 * time.Millisecond
	readTime   = 2 * time.Millisecond
	// readRetry is the pause after a read that failed.
	readRetry = 200 * time.Millisecond
)

// logFake is the fake of the platform's log service.
type logFake struct {
	w       *world
	streams map[string]*stream
}

// stream is one stream with its readers, which poll for new records.
type stream struct {
	records []logservice.Record
	readers []func()
}

func (l *logFake) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{}
	}
	return l.streams[name]
}

// append adds records; done gets whether they were added.
func (l *logFake) append(name string, data [][]byte, done func(ok bool)) {
	l.w.after(appendTime, func() {
		if l.w.logDown {
			done(false)
			return
		}
		s := l.stream(name)
		for _, d := range data {
			s.records = append(s.records, logservice.Record{Offset: uint64(len(s.records)), Time: l.w.now, Data: d})
		}
		done(true)
		for _, read := range s.readers {
			l.w.after(readTime, read)
		}
	})
}

// read returns the records from an offset on.
func (l *logFake) read(name string, from uint64) (b logservice.Batch, ok bool) {
	if l.w.logDown {
		return b, false
	}
	s := l.stream(name)
	b.Next = uint64(len(s.records))
	b.Records = s.records[min(from, b.Next):]
	return b, true
}

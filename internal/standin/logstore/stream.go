package logstore

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// stream holds the kept records of one stream. Offsets have no holes.
type stream struct {
	records  []logservice.Record
	next     uint64
	counters Counters
}

// expire drops the records appended at or before the limit.
func (s *stream) expire(limit time.Time) {
	n := 0
	for n < len(s.records) && !s.records[n].Time.After(limit) {
		n++
	}
	s.records = s.records[n:]
}

func (s *stream) earliest() uint64 { return s.next - uint64(len(s.records)) }

// read returns up to most records from offset from on, at least one if there
// is one, and no more than maxBatchBytes otherwise.
func (s *stream) read(from uint64, most int) logservice.Batch {
	b := logservice.Batch{Earliest: s.earliest()}
	from = min(max(from, b.Earliest), s.next)
	bytes := 0
	for _, r := range s.records[from-b.Earliest:] {
		bytes += len(r.Data)
		if len(b.Records) == most || len(b.Records) > 0 && bytes > maxBatchBytes {
			break
		}
		b.Records = append(b.Records, r)
	}
	b.Next = from + uint64(len(b.Records))
	return b
}

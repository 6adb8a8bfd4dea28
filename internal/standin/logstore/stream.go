package logstore

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// stream holds the unexpired records of one stream. Their offsets are contiguous.
type stream struct {
	records  []logservice.Record
	next     uint64
	counters Counters
}

// expire removes the records appended at or before cutoff.
func (s *stream) expire(cutoff time.Time) {
	n := 0
	for n < len(s.records) && !s.records[n].Time.After(cutoff) {
		n++
	}
	s.records = s.records[n:]
}

func (s *stream) earliest() uint64 { return s.next - uint64(len(s.records)) }

// read returns up to maxRecords records starting at offset from. A batch holds at
// most maxBatchBytes, except that a single larger record is returned alone.
func (s *stream) read(from uint64, maxRecords int) logservice.Batch {
	b := logservice.Batch{Earliest: s.earliest()}
	from = min(max(from, b.Earliest), s.next)
	bytes := 0
	for _, r := range s.records[from-b.Earliest:] {
		bytes += len(r.Data)
		if len(b.Records) == maxRecords || len(b.Records) > 0 && bytes > maxBatchBytes {
			break
		}
		b.Records = append(b.Records, r)
	}
	b.Next = from + uint64(len(b.Records))
	return b
}

package logstore

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// recordFile keeps the records of all streams, one JSON value per record. A
// record is in the file before its append is answered, so a killed process
// loses no answered append.
type recordFile struct{ file *os.File }

type fileRecord struct {
	Stream string `json:"stream"`
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// Open returns a Store with the records of o.File, which is made if it is
// missing. Later appends are added to the file.
func Open(o Options) (*Store, error) {
	s := New(o)
	file, err := os.OpenFile(o.File, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := s.load(file); err != nil {
		_ = file.Close()
		return nil, err
	}
	s.file = &recordFile{file}
	return s, nil
}

// load reads all whole records and cuts off a last one that was being written
// when the process ended.
func (s *Store) load(file *os.File) error {
	decoder := json.NewDecoder(file)
	for {
		whole := decoder.InputOffset()
		var r fileRecord
		err := decoder.Decode(&r)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			if err := file.Truncate(whole); err != nil {
				return err
			}
			_, err := file.Seek(whole, io.SeekStart)
			return err
		}
		if err != nil {
			return err
		}
		v := s.streams[r.Stream]
		if v == nil {
			v = &stream{}
			s.streams[r.Stream] = v
		}
		at := time.UnixMilli(r.TimeMS).UTC()
		v.records = append(v.records, logservice.Record{Offset: r.Offset, Time: at, Data: r.Data})
		v.next = r.Offset + 1
		if at.After(s.last) {
			s.last = at
		}
	}
}

func (f *recordFile) write(name string, first uint64, at time.Time, data [][]byte) error {
	var lines []byte
	for i, d := range data {
		line, err := json.Marshal(fileRecord{name, first + uint64(i), at.UnixMilli(), d})
		if err != nil {
			return err
		}
		lines = append(append(lines, line...), '\n')
	}
	_, err := f.file.Write(lines)
	return err
}

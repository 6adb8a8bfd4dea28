package logstore

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// recordFile persists the records of all streams, one JSON value per record. A
// record is written before its append is acknowledged, so that no acknowledged
// append is lost when the process is killed.
type recordFile struct{ file *os.File }

type fileRecord struct {
	Stream string `json:"stream"`
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// Open returns a Store with the records of o.File, which is created if it
// does not exist. Appends are written to the file.
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

// load reads all complete records and truncates the file after them: the last
// record is partial if the process ended during its write.
func (s *Store) load(file *os.File) error {
	decoder := json.NewDecoder(file)
	for {
		completeBytes := decoder.InputOffset()
		var r fileRecord
		err := decoder.Decode(&r)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			if err := file.Truncate(completeBytes); err != nil {
				return err
			}
			_, err := file.Seek(completeBytes, io.SeekStart)
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
		if at.After(s.lastTime) {
			s.lastTime = at
		}
	}
}

// write appends the records of one append request, which have consecutive offsets
// from first on.
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

// Package logstore is a stand-in for the platform's log service. It keeps
// records in memory, limits the append rate, expires records by age, and injects
// faults on request: an outage, a delay, and responses lost after the append took
// effect. A Store is a logservice.Client, and Handler serves it over HTTP.
package logstore

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"golang.org/x/time/rate"
)

const (
	// maxBatchBytes keeps a batch below the response size limit of the client.
	maxBatchBytes = 4 << 20
	// maxStreams limits the memory that stream names can use.
	maxStreams = 4096
	// burstSeconds is the burst of the append rate limit, as seconds of its rate.
	burstSeconds = 0.1
)

var (
	errOutage       = errors.New("the log service is down")
	errResponseLost = errors.New("the response was lost")
	errStreams      = errors.New("too many streams")
)

// Store holds all streams of the stand-in. It is safe for concurrent use.
type Store struct {
	now       func() time.Time
	retention time.Duration

	mu      sync.Mutex
	limit   *rate.Limiter
	streams map[string]*stream
	faults  Faults
	// lastTime is the latest time of the log service so far.
	lastTime time.Time
	// changed is closed and replaced to wake waiting reads, on an append or a
	// change of the faults.
	changed chan struct{}
	// file persists the records; nil keeps them in memory only.
	file *recordFile
}

var _ logservice.Client = (*Store)(nil)

// New returns an empty Store.
func New(o Options) *Store {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.AppendRate <= 0 {
		o.AppendRate = DefaultAppendRate
	}
	return &Store{now: o.Now, retention: o.Retention, streams: map[string]*stream{}, changed: make(chan struct{}),
		limit: rate.NewLimiter(rate.Limit(o.AppendRate), max(1, int(o.AppendRate*burstSeconds)))}
}

// SetFaults replaces all faults.
func (s *Store) SetFaults(f Faults) { s.update(func(v *Faults) { *v = f }) }

// SetOutage starts or ends an outage. Waiting reads fail at once.
func (s *Store) SetOutage(down bool) { s.update(func(f *Faults) { f.Outage = down }) }

// SetDelay sets the delay of every later request.
func (s *Store) SetDelay(d time.Duration) { s.update(func(f *Faults) { f.DelayMS = d.Milliseconds() }) }

// LoseResponses makes the next n appends take effect without a response; a
// negative n means all.
func (s *Store) LoseResponses(n int) { s.update(func(f *Faults) { f.LoseResponses = n }) }

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Store) update(f func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
	s.wakeReaders()
}

func (s *Store) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Counters returns the counters of all streams by name.
func (s *Store) Counters() map[string]Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]Counters{}
	for name, v := range maps.All(s.streams) {
		all[name] = v.counters
	}
	return all
}

// Append implements logservice.Client.
func (s *Store) Append(ctx context.Context, name string, data ...[]byte) (uint64, error) {
	if err := logservice.CheckAppend(name, data); err != nil {
		return 0, err
	}
	if err := s.applyDelay(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, err := s.availableStream(name)
	if err != nil {
		return 0, err
	}
	now := s.monotonicNow()
	if !s.limit.AllowN(now, 1) {
		v.counters.Refused++
		return 0, logservice.RateExceeded(0)
	}
	v.expire(now.Add(-s.retention))
	if s.file != nil {
		if err := s.file.write(name, v.next, now, data); err != nil {
			return 0, logservice.Unavailable(kind.MayHaveRun, err)
		}
	}
	first := v.next
	for _, d := range data {
		v.records = append(v.records, logservice.Record{Offset: v.next, Time: now, Data: slices.Clone(d)})
		v.next++
	}
	v.counters.Appends++
	v.counters.Records += uint64(len(data))
	s.wakeReaders()
	if s.faults.LoseResponses != 0 {
		s.faults.LoseResponses = max(s.faults.LoseResponses-1, -1)
		v.counters.ResponsesLost++
		return 0, logservice.Unavailable(kind.MayHaveRun, errResponseLost)
	}
	return first, nil
}

// Read implements logservice.Client.
func (s *Store) Read(ctx context.Context, name string, from uint64, maxRecords int, wait time.Duration) (logservice.Batch, error) {
	if err := s.applyDelay(ctx); err != nil {
		return logservice.Batch{}, err
	}
	timer := time.NewTimer(min(wait, logservice.MaxReadWait))
	defer timer.Stop()
	for waitEnded := wait <= 0; ; {
		b, changed, err := s.readNow(name, from, min(max(maxRecords, 1), logservice.MaxReadRecords), waitEnded)
		if err != nil || changed == nil {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			waitEnded = true
		case <-ctx.Done():
			return logservice.Batch{}, logservice.Unavailable(kind.NotRun, ctx.Err())
		}
	}
}

// readNow returns a batch, or the channel to wait on if there is no record yet
// and the wait has not ended.
func (s *Store) readNow(name string, from uint64, maxRecords int, waitEnded bool) (logservice.Batch, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, err := s.availableStream(name)
	if err != nil {
		return logservice.Batch{}, nil, err
	}
	v.expire(s.monotonicNow().Add(-s.retention))
	b := v.read(from, maxRecords)
	if len(b.Records) == 0 && !waitEnded {
		return b, s.changed, nil
	}
	v.counters.Reads++
	return b, nil, nil
}

// availableStream returns the stream and creates it if necessary. It returns an
// error during an outage.
func (s *Store) availableStream(name string) (*stream, error) {
	v := s.streams[name]
	if v == nil {
		if len(s.streams) >= maxStreams || !logservice.ValidStream(name) {
			return nil, logservice.Unavailable(kind.NotRun, errStreams)
		}
		v = &stream{}
		s.streams[name] = v
	}
	if s.faults.Outage {
		v.counters.Refused++
		return nil, logservice.Unavailable(kind.MayHaveRun, errOutage)
	}
	return v, nil
}

// monotonicNow returns the time of the log service, which never decreases.
func (s *Store) monotonicNow() time.Time {
	if now := s.now().UTC().Truncate(time.Millisecond); now.After(s.lastTime) {
		s.lastTime = now
	}
	return s.lastTime
}

func (s *Store) applyDelay(ctx context.Context) error {
	d := time.Duration(s.Faults().DelayMS) * time.Millisecond
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return logservice.Unavailable(kind.NotRun, ctx.Err())
	}
}

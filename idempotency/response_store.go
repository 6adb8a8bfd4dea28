package idempotency

// storedResponse is one entry of a responseStore.
type storedResponse struct {
	hash KeyHash
	id   uint64
}

// storedBytes is a response with the number that tells it from an earlier
// response of the same key.
type storedBytes struct {
	id   uint64
	data []byte
}

// responseStore keeps the newest responses within a bound in bytes.
type responseStore struct {
	max     int
	bytes   int
	lastID  uint64
	entries map[KeyHash]storedBytes
	order   fifo[storedResponse]
	evicted uint64
}

// put stores data and drops the oldest responses to make room. Data above the
// bound is not stored.
func (s *responseStore) put(hash KeyHash, data []byte) {
	s.remove(hash)
	if len(data) > s.max {
		s.evicted++
		return
	}
	for s.bytes+len(data) > s.max && s.order.len() > 0 {
		oldest := s.order.pop()
		if e, ok := s.entries[oldest.hash]; ok && e.id == oldest.id {
			s.remove(oldest.hash)
			s.evicted++
		}
	}
	s.lastID++
	s.entries[hash] = storedBytes{id: s.lastID, data: data}
	s.order.push(storedResponse{hash: hash, id: s.lastID})
	s.bytes += len(data)
}

func (s *responseStore) get(hash KeyHash) ([]byte, bool) {
	e, ok := s.entries[hash]
	return e.data, ok
}

func (s *responseStore) remove(hash KeyHash) {
	if e, ok := s.entries[hash]; ok {
		s.bytes -= len(e.data)
		delete(s.entries, hash)
	}
	for s.order.len() > 0 {
		oldest := s.order.front()
		if e, ok := s.entries[oldest.hash]; ok && e.id == oldest.id {
			break
		}
		s.order.pop()
	}
}

package idempotency

// responseRef identifies one response in the eviction order.
type responseRef struct {
	hash KeyHash
	id   uint64
}

// storedResponse is a response with an ID that distinguishes it from earlier
// responses of the same key.
type storedResponse struct {
	id   uint64
	data []byte
}

// responseStore keeps the newest responses up to max bytes in total.
type responseStore struct {
	max     int
	bytes   int
	lastID  uint64
	entries map[KeyHash]storedResponse
	order   fifo[responseRef]
	evicted uint64
}

// put stores data and evicts the oldest responses to make room. Data longer than
// max is not stored and counts as evicted.
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
	s.entries[hash] = storedResponse{id: s.lastID, data: data}
	s.order.push(responseRef{hash: hash, id: s.lastID})
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

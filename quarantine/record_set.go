package quarantine

import "slices"

// recordSet holds records by fingerprint, and finds those of the same content.
type recordSet struct {
	byFingerprint map[Fingerprint]*record
	byContent     map[Fingerprint][]Fingerprint
}

func newRecordSet() recordSet {
	return recordSet{make(map[Fingerprint]*record), make(map[Fingerprint][]Fingerprint)}
}

func (s *recordSet) add(f Fingerprint, r *record) {
	if _, known := s.byFingerprint[f]; !known {
		s.byContent[f.Content()] = append(s.byContent[f.Content()], f)
	}
	s.byFingerprint[f] = r
}

func (s *recordSet) remove(f Fingerprint) {
	delete(s.byFingerprint, f)
	callers := slices.DeleteFunc(s.byContent[f.Content()], func(g Fingerprint) bool { return g == f })
	if len(callers) == 0 {
		delete(s.byContent, f.Content())
		return
	}
	s.byContent[f.Content()] = callers
}

package configlog

// EncodeSnapshot returns the whole state as a snapshot record, the form used
// in the log and between peers. It carries an xxhash sum.
func EncodeSnapshot(s *State) []byte { panic("not implemented") }

// DecodeSnapshot checks and reads a snapshot made by EncodeSnapshot. The error
// has kind malformed.
func DecodeSnapshot(data []byte) (*State, error) { panic("not implemented") }

// EncodeDelta returns what has changed since the given offset, for a peer that
// has folded at least that far. It is much smaller than a snapshot, and it is
// not valid as a log record.
func EncodeDelta(s *State, since uint64) []byte { panic("not implemented") }

// Adopt returns the newer state that a snapshot or delta from a peer describes.
// It returns s unchanged if the offset would not move forward. The error has
// kind malformed; a delta that starts after s.Offset() is malformed for s.
func Adopt(s *State, data []byte) (*State, error) { panic("not implemented") }

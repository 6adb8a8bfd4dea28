package admission

import "math/bits"

const (
	wordBits  = 64
	rankWords = int(MaxRank) / wordBits
)

// rankSet is a set of ranks with constant-time minimum and maximum: a bitmap of
// the ranks and a summary bitmap of its non-zero words. The number of ranks is
// exactly wordBits squared, so two levels suffice.
type rankSet struct {
	words   [rankWords]uint64
	summary uint64
}

func (s *rankSet) add(r Rank) {
	i := int(r - MinRank)
	s.words[i/wordBits] |= 1 << (i % wordBits)
	s.summary |= 1 << (i / wordBits)
}

func (s *rankSet) remove(r Rank) {
	i := int(r - MinRank)
	s.words[i/wordBits] &^= 1 << (i % wordBits)
	if s.words[i/wordBits] == 0 {
		s.summary &^= 1 << (i / wordBits)
	}
}

// min returns the smallest rank, or 0 when the set is empty.
func (s *rankSet) min() Rank {
	if s.summary == 0 {
		return 0
	}
	w := bits.TrailingZeros64(s.summary)
	return MinRank + Rank(w*wordBits+bits.TrailingZeros64(s.words[w]))
}

// max returns the largest rank, or 0 when the set is empty.
func (s *rankSet) max() Rank {
	if s.summary == 0 {
		return 0
	}
	w := bits.Len64(s.summary) - 1
	return MinRank + Rank(w*wordBits+bits.Len64(s.words[w])-1)
}

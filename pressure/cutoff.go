package pressure

// Cutoff is an admission threshold: a request may start if its position is below
// it. 0 refuses all requests.
type Cutoff float64

// ImportanceLevels is the number of importance levels. AdmitAll is the cutoff that
// admits all of them.
const (
	ImportanceLevels        = 16
	AdmitAll         Cutoff = ImportanceLevels
)

// Position returns the position of a request relative to a Cutoff; lower positions
// are admitted first. It orders requests by importance and within one importance
// by a fraction from 0 to 1 that is the same at every hop of a chain.
func Position(importance int, fraction float64) float64 {
	return float64(min(max(importance, 0), ImportanceLevels-1)) + min(max(fraction, 0), 0.999)
}

// Admits reports whether a request at a position may start.
func (c Cutoff) Admits(position float64) bool { return position < float64(c) }

// admittedShare returns the share of the requests of an importance that may start.
func (c Cutoff) admittedShare(importance int) float64 {
	return min(max(float64(c)-float64(importance), 0), 1)
}

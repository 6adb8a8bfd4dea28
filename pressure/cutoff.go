package pressure

// Cutoff separates requests that may start from those that are refused: a
// request may start if its position is below it. 0 refuses everything.
type Cutoff float64

// Importances is the number of importances. Open admits all of them.
const (
	Importances        = 16
	Open        Cutoff = Importances
)

// Position orders requests by importance, and within one importance by a
// fraction from 0 to 1 that is the same at every hop of a chain.
func Position(importance int, fraction float64) float64 {
	return float64(min(max(importance, 0), Importances-1)) + min(max(fraction, 0), 0.999)
}

// Admits reports whether a request at a position may start.
func (c Cutoff) Admits(position float64) bool { return position < float64(c) }

// share returns the part of the requests of an importance that may start.
func (c Cutoff) share(importance int) float64 {
	return min(max(float64(c)-float64(importance), 0), 1)
}

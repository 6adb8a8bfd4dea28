package replay

import (
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
)

// start returns the virtual time at which the trace begins. A recorded client
// key that is a UUID of version 7 carries the time of the recording and is
// refused when the log's clock differs from it by more than the skew or the
// window. The trace then begins at the median of the times that the keys give
// for its beginning, so that a client whose clock was wrong is refused as it
// was in the recording and does not change the outcome of the others.
func (t *Trace) start() time.Time {
	var starts []int64
	for _, e := range t.Events {
		if e.Method == "" || e.Key == "" {
			continue
		}
		if key, err := idempotency.ParseKey(e.Key); err == nil && key.Format == idempotency.FormatUUIDv7 {
			starts = append(starts, key.TimeMS-int64(e.At))
		}
	}
	if len(starts) == 0 {
		return defaultStart
	}
	slices.Sort(starts)
	return time.UnixMilli(starts[len(starts)/2])
}

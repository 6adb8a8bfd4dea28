package naive

import (
	"net/http"
	"time"
)

const (
	// MaxRetries is the number of retries at every hop.
	MaxRetries = 3
	// HopTimeout is the fixed time that a hop waits for a response.
	HopTimeout = time.Second
)

// Retry reports whether a hop sends a request again after the given number of
// retries. status is 0 when no response arrived.
func Retry(retries, status int) bool {
	return retries < MaxRetries && (status == 0 || status >= http.StatusInternalServerError)
}

package replay

import "time"

// attempt is one client request as the system sees it.
type attempt struct {
	request  *request
	number   int
	deadline time.Time
	// retries counts the calls that the system repeated at any hop.
	retries int
	// executed reports that a target began to run the entry operation.
	executed bool
	// notRun reports that the client was told that the request was not run.
	notRun bool
}

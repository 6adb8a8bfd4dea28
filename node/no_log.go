package node

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

var errNoLog = errors.New("no log service is configured")

// noLog is the logservice.Client of a node without a log service; every call
// fails as unavailable.
type noLog struct{}

// Append implements logservice.Client.
func (noLog) Append(context.Context, string, ...[]byte) (uint64, error) {
	return 0, logservice.Unavailable(kind.NotRun, errNoLog)
}

// Read implements logservice.Client.
func (noLog) Read(context.Context, string, uint64, int, time.Duration) (logservice.Batch, error) {
	return logservice.Batch{}, logservice.Unavailable(kind.NotRun, errNoLog)
}

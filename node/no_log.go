package node

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

var errNoLog = errors.New("no log service is configured")

// noLog stands for a log service that is never reachable.
type noLog struct{}

// Append implements logservice.Client.
func (noLog) Append(context.Context, string, ...[]byte) (uint64, error) {
	return 0, logservice.Unavailable(kind.NotRun, errNoLog)
}

// Read implements logservice.Client.
func (noLog) Read(context.Context, string, uint64, int, time.Duration) (logservice.Batch, error) {
	return logservice.Batch{}, logservice.Unavailable(kind.NotRun, errNoLog)
}

package claims

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// MaxIssueKeys bounds the keys handed out by one call of IssueKeys.
const MaxIssueKeys = 1000

// Defaults of Options.
const (
	// DefaultClaimTimeout is several times the latency of a healthy log, and
	// short enough for a caller to repeat its request within its deadline.
	DefaultClaimTimeout = time.Second
	// DefaultAskWait is how long one question to an owner may wait.
	DefaultAskWait = 2 * time.Second
)

// Options are the dependencies and bounds of a Guard.
type Options struct {
	Service policy.ServiceName
	// Process is the ID of this process start.
	Process idempotency.ProcessID
	// Log is read by Run.
	Log logservice.Client
	// Appender defaults to a GroupAppender over Log.
	Appender Appender
	// Asker reaches the owners of other claims.
	Asker OutcomeAsker
	// Config holds the bounds of keys; Config.Window is the policy's ClaimWindow.
	Config idempotency.Config
	// ClaimTimeout bounds the wait for the log in Begin.
	ClaimTimeout time.Duration
	// AskWait bounds the wait in one question to an owner.
	AskWait time.Duration
	// Logger defaults to a logger that discards everything.
	Logger hclog.Logger
}

// Stream returns the name of the claims stream of a service.
func Stream(name policy.ServiceName) string {
	return "claims." + name.Customer + "." + name.Service
}

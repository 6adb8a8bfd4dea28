package claims

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Defaults of Options.
const (
	// DefaultClaimTimeout is several times the append latency of a healthy log,
	// and short enough for a caller to repeat its request within its deadline.
	DefaultClaimTimeout = time.Second
	// DefaultAskWait is how long the owner of a claim may wait for the outcome
	// before it answers a query.
	DefaultAskWait = 2 * time.Second
	// DefaultAppendInterval limits seven nodes that append continuously to 280
	// appends per second; docs/capacity-claims.md derives it.
	DefaultAppendInterval = 25 * time.Millisecond
)

// MaxIssueKeys bounds the keys returned by one call of IssueKeys.
const MaxIssueKeys = 1000

// Options are the dependencies and bounds of a Guard.
type Options struct {
	Service policy.ServiceName
	// Process identifies this process; a restart has a new ID.
	Process idempotency.ProcessID
	// Log holds the claims stream, which Run reads.
	Log logservice.Client
	// Appender defaults to a GroupAppender over Log.
	Appender Appender
	// AppendInterval is the minimum time between appends of that GroupAppender.
	AppendInterval time.Duration
	// OutcomeClient queries the owners of claims held by other processes.
	OutcomeClient OutcomeClient
	// Config configures the state machine; Config.Window is the policy's
	// ClaimWindow.
	Config idempotency.Config
	// ClaimTimeout bounds the wait for the log in Begin.
	ClaimTimeout time.Duration
	// AskWait is how long the owner of a claim may wait for the outcome before it
	// answers a query.
	AskWait time.Duration
	// Logger defaults to a logger that discards everything.
	Logger hclog.Logger
}

// withDefaults returns o with every zero field that has a default set.
func (o Options) withDefaults() Options {
	o.Config = o.Config.WithDefaults()
	if o.ClaimTimeout == 0 {
		o.ClaimTimeout = DefaultClaimTimeout
	}
	if o.AskWait == 0 {
		o.AskWait = DefaultAskWait
	}
	if o.AppendInterval == 0 {
		o.AppendInterval = DefaultAppendInterval
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return o
}

// validate returns an error of kind settings-invalid that lists every invalid
// field, or nil.
func (o Options) validate() error {
	faults := o.Config.Validate()
	check := func(ok bool, field, value, allowed string) {
		if !ok {
			faults = append(faults, kind.FieldError{Field: field, Value: value, Allowed: allowed})
		}
	}
	check(policy.ValidName(o.Service.Customer) && policy.ValidName(o.Service.Service), "service", o.Service.String(), "a customer and a service")
	check(o.Process != idempotency.ProcessID{}, "process", o.Process.String(), "a process ID")
	check(o.Log != nil, "log", "none", "a log client")
	check(o.OutcomeClient != nil, "asker", "none", "an outcome client")
	check(o.ClaimTimeout > 0, "claim_timeout", o.ClaimTimeout.String(), "more than 0")
	check(o.AskWait > 0, "ask_wait", o.AskWait.String(), "more than 0")
	check(o.AppendInterval > 0, "append_interval", o.AppendInterval.String(), "more than 0")
	if len(faults) > 0 {
		return &kind.Error{Kind: kind.SettingsInvalid, Run: kind.NotRun, Fields: faults}
	}
	return nil
}

// Stream returns the name of the claims stream of a service.
func Stream(name policy.ServiceName) string {
	return "claims." + name.Customer + "." + name.Service
}

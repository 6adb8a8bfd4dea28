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
	// DefaultClaimTimeout is several times the latency of a healthy log, and
	// short enough for a caller to repeat its request within its deadline.
	DefaultClaimTimeout = time.Second
	// DefaultAskWait is how long one question to an owner may wait.
	DefaultAskWait = 2 * time.Second
	// DefaultAppendInterval keeps seven nodes that append without a pause at
	// 280 appends per second; docs/capacity-claims.md derives it.
	DefaultAppendInterval = 25 * time.Millisecond
)

// MaxIssueKeys bounds the keys handed out by one call of IssueKeys.
const MaxIssueKeys = 1000

// Options are the dependencies and bounds of a Guard.
type Options struct {
	Service policy.ServiceName
	// Process is the ID of this process start.
	Process idempotency.ProcessID
	// Log is read by Run.
	Log logservice.Client
	// Appender defaults to a GroupAppender over Log.
	Appender Appender
	// AppendInterval is the interval of that GroupAppender.
	AppendInterval time.Duration
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

// validate returns an error of kind settings-invalid with every fault.
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
	check(o.Asker != nil, "asker", "none", "an outcome asker")
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

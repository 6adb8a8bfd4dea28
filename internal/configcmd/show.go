package configcmd

import (
	"context"
	"encoding/json"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// shownRecord is a change file that would publish the current policy again.
type shownRecord struct {
	Schema   int                   `json:"schema"`
	Customer string                `json:"customer"`
	Service  string                `json:"service"`
	Base     uint64                `json:"base"`
	Op       configlog.Op          `json:"op"`
	Policy   *configlog.PolicyBody `json:"policy"`
}

// Show lists the policies in force. With a service, as service.customer, it
// writes the policy as a schema 2 change file that is ready for editing.
func Show(ctx context.Context, env Env, logURL, service string) int {
	var name policy.ServiceName
	if service != "" {
		n, err := policy.ParseServiceName(service)
		if err != nil || n.String() != service {
			return env.usage("--service: %q is not allowed, want SERVICE.CUSTOMER", service)
		}
		name = n
	}
	client := env.client(logURL)
	if client == nil {
		return ExitUsage
	}
	state, err := readLog(ctx, client)
	if err != nil {
		env.errorf("config show: %v", err)
		return ExitFailure
	}
	if service == "" {
		for _, p := range state.Policies() {
			env.printf("%s: revision %d, %d classes, %d slots, %d connections, retry allowance %d", p.Name, p.Revision, len(p.Classes), p.Slots, p.Connections, p.RetryAllowance)
		}
		env.printf("%d policies up to offset %d", len(state.Policies()), state.Offset())
		return ExitOK
	}
	p := state.Policy(name)
	if p == nil {
		env.errorf("config show: no policy for %s; a new one has base %d", name, state.Revision(name))
		return ExitFailure
	}
	e := json.NewEncoder(env.Stdout)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	err = e.Encode(shownRecord{Schema: configlog.Schema2, Customer: name.Customer, Service: name.Service, Base: p.Revision, Op: configlog.Put, Policy: configlog.NewPolicyBody(p)})
	if err != nil {
		env.errorf("config show: %v", err)
		return ExitFailure
	}
	return ExitOK
}

package node

import (
	"net"
	"strconv"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// TargetState is the state that a target announces.
type TargetState string

// The target states. A target never announces Down; its node detects it.
const (
	Starting TargetState = "starting"
	Ready    TargetState = "ready"
	Draining TargetState = "draining"
	Down     TargetState = "down"
)

// Announcement is the registration that a target sends to its local node.
type Announcement struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	// Address is where the target serves HTTP, as IP:PORT.
	Address string `json:"address"`
	// Slots is the number of requests that the target serves concurrently,
	// capped by the policy's value. 0 means the policy's value.
	Slots int `json:"slots"`
	// Capacity is the number of slots usable now; 0 means all.
	Capacity int         `json:"capacity"`
	State    TargetState `json:"state"`
}

const maxAnnouncedSlots = 100_000

// Validate returns an error for each invalid field.
func (a *Announcement) Validate() []kind.FieldError {
	var fieldErrors []kind.FieldError
	check := func(valid bool, field, value, allowed string) {
		if !valid {
			fieldErrors = append(fieldErrors, kind.FieldError{Field: field, Value: value, Allowed: allowed})
		}
	}
	check(policy.ValidName(a.Customer), "customer", a.Customer, "a DNS label in lower case")
	check(policy.ValidName(a.Service), "service", a.Service, "a DNS label in lower case")
	host, port, err := net.SplitHostPort(a.Address)
	check(err == nil && net.ParseIP(host) != nil && port != "", "address", a.Address, "IP:PORT")
	check(a.Slots >= 0 && a.Slots <= maxAnnouncedSlots, "slots", strconv.Itoa(a.Slots), "0 to 100000")
	check(a.Capacity >= 0 && a.Capacity <= maxAnnouncedSlots, "capacity", strconv.Itoa(a.Capacity), "0 to 100000")
	check(a.State == Starting || a.State == Ready || a.State == Draining, "state", string(a.State), "starting, ready or draining")
	return fieldErrors
}

func (a *Announcement) service() policy.ServiceName {
	return policy.ServiceName{Customer: a.Customer, Service: a.Service}
}

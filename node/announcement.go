package node

import (
	"net"
	"strconv"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// TargetState is the state that a target announces.
type TargetState string

// The target states. Down is never announced; a node detects it.
const (
	Starting TargetState = "starting"
	Ready    TargetState = "ready"
	Draining TargetState = "draining"
	Down     TargetState = "down"
)

// Announcement is what a target tells the node beside it.
type Announcement struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	// Address is where the target serves HTTP, as IP:PORT.
	Address string `json:"address"`
	// Slots is how many requests the target serves at once; the policy's
	// value is an upper bound. 0 takes the policy's value.
	Slots int `json:"slots"`
	// Capacity is the number of slots usable now; 0 means all.
	Capacity int         `json:"capacity"`
	State    TargetState `json:"state"`
}

const maxAnnouncedSlots = 100_000

// Validate returns an error for each invalid field.
func (a *Announcement) Validate() []kind.FieldError {
	var faults []kind.FieldError
	fault := func(ok bool, field, value, allowed string) {
		if !ok {
			faults = append(faults, kind.FieldError{Field: field, Value: value, Allowed: allowed})
		}
	}
	fault(policy.ValidName(a.Customer), "customer", a.Customer, "a DNS label in lower case")
	fault(policy.ValidName(a.Service), "service", a.Service, "a DNS label in lower case")
	host, port, err := net.SplitHostPort(a.Address)
	fault(err == nil && net.ParseIP(host) != nil && port != "", "address", a.Address, "IP:PORT")
	fault(a.Slots >= 0 && a.Slots <= maxAnnouncedSlots, "slots", strconv.Itoa(a.Slots), "0 to 100000")
	fault(a.Capacity >= 0 && a.Capacity <= maxAnnouncedSlots, "capacity", strconv.Itoa(a.Capacity), "0 to 100000")
	fault(a.State == Starting || a.State == Ready || a.State == Draining, "state", string(a.State), "starting, ready or draining")
	return faults
}

func (a *Announcement) service() policy.ServiceName {
	return policy.ServiceName{Customer: a.Customer, Service: a.Service}
}

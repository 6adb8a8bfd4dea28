// Package policy defines the per-service configuration that operators publish:
// request classes, limits and timeouts. It validates policies and classifies
// requests.
package policy

import (
	"regexp"
	"strings"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// ServiceName identifies a service of a customer.
type ServiceName struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
}

// maxNameBytes is the maximum length of a DNS label, because names appear in the
// Host header.
const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// String returns SERVICE.CUSTOMER, the format used in the Host header.
func (n ServiceName) String() string { return n.Service + "." + n.Customer }

// ParseServiceName parses SERVICE.CUSTOMER, with or without a port. The error
// has kind malformed.
func ParseServiceName(host string) (ServiceName, error) {
	host, _, _ = strings.Cut(host, ":")
	service, customer, ok := strings.Cut(host, ".")
	n := ServiceName{Customer: customer, Service: service}
	if !ok || !ValidName(service) || !ValidName(customer) {
		return ServiceName{}, &kind.Error{Kind: kind.Malformed, Run: kind.NotRun, Fields: []kind.FieldError{
			{Field: "Host", Value: host, Allowed: "SERVICE.CUSTOMER in lower-case letters, digits and hyphens"}}}
	}
	return n, nil
}

// ValidName reports whether s is a valid name of a customer or a service.
func ValidName(s string) bool {
	return len(s) <= maxNameBytes && namePattern.MatchString(s)
}

package routetable

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Bounds on what is accepted; they keep a damaged record from taking the
// memory of every node.
const (
	maxRoutes   = 100_000
	maxServices = 10_000
	maxAttempts = 100
)

// Validate returns all faults of c.
func (c *Config) Validate() []kind.FieldError {
	var faults []kind.FieldError
	fault := func(field, value, allowed string) {
		faults = append(faults, kind.FieldError{Field: field, Value: value, Allowed: allowed})
	}
	if c.Version == 0 {
		fault("version", "0", "a positive integer")
	}
	if len(c.Routes) > maxRoutes {
		fault("routes", strconv.Itoa(len(c.Routes)), fmt.Sprintf("at most %d", maxRoutes))
	}
	if len(c.Services) > maxServices {
		fault("services", strconv.Itoa(len(c.Services)), fmt.Sprintf("at most %d", maxServices))
	}
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = true
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		at := fmt.Sprintf("routes[%d].", i)
		if r.Host == "" {
			fault(at+"host", "", "a host name")
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			fault(at+"prefix", r.Prefix, "a path that begins and ends with a slash")
		}
		if r.Timeout < 0 || r.Objective < 0 {
			fault(at+"timeout", r.Timeout.String(), "no negative time")
		}
		if r.MaxAttempts < 0 || r.MaxAttempts > maxAttempts {
			fault(at+"max_attempts", strconv.Itoa(r.MaxAttempts), fmt.Sprintf("0 to %d", maxAttempts))
		}
		total := 0.0
		for _, part := range r.Clusters {
			if len(services) > 0 && !services[part.Service] {
				fault(at+"clusters", part.Service, "a published service")
			}
			if part.Weight < 0 {
				fault(at+"clusters", fmt.Sprint(part.Weight), "no negative weight")
			}
			total += part.Weight
		}
		if len(r.Clusters) == 0 || total <= 0 {
			fault(at+"clusters", "none", "at least one service with a positive weight")
		}
	}
	return faults
}

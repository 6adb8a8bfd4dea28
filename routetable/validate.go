package routetable

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Upper bounds that keep a damaged configuration from exhausting the memory of
// every node.
const (
	maxRoutes   = 100_000
	maxServices = 10_000
	maxAttempts = 100
)

// Validate returns all faults of c.
func (c *Config) Validate() []kind.FieldError {
	var faults []kind.FieldError
	addFault := func(field, value, allowed string) {
		faults = append(faults, kind.FieldError{Field: field, Value: value, Allowed: allowed})
	}
	if c.Version == 0 {
		addFault("version", "0", "a positive integer")
	}
	if len(c.Routes) > maxRoutes {
		addFault("routes", strconv.Itoa(len(c.Routes)), fmt.Sprintf("at most %d", maxRoutes))
	}
	if len(c.Services) > maxServices {
		addFault("services", strconv.Itoa(len(c.Services)), fmt.Sprintf("at most %d", maxServices))
	}
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = true
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		fieldPrefix := fmt.Sprintf("routes[%d].", i)
		if route.Host == "" {
			addFault(fieldPrefix+"host", "", "a host name")
		}
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			addFault(fieldPrefix+"prefix", route.Prefix, "a path that begins and ends with a slash")
		}
		if route.Timeout < 0 || route.Objective < 0 {
			addFault(fieldPrefix+"timeout", route.Timeout.String(), "a non-negative duration")
		}
		if route.MaxAttempts < 0 || route.MaxAttempts > maxAttempts {
			addFault(fieldPrefix+"max_attempts", strconv.Itoa(route.MaxAttempts), fmt.Sprintf("0 to %d", maxAttempts))
		}
		totalWeight := 0.0
		for _, cluster := range route.Clusters {
			if len(services) > 0 && !services[cluster.Service] {
				addFault(fieldPrefix+"clusters", cluster.Service, "a published service")
			}
			if cluster.Weight < 0 {
				addFault(fieldPrefix+"clusters", fmt.Sprint(cluster.Weight), "a non-negative weight")
			}
			totalWeight += cluster.Weight
		}
		if len(route.Clusters) == 0 || totalWeight <= 0 {
			addFault(fieldPrefix+"clusters", "none", "at least one service with a positive weight")
		}
	}
	return faults
}

package routetable

import (
	"net"
	"sort"
	"strings"
)

// Table looks up the route of a request. It is immutable and safe for
// concurrent use.
type Table struct {
	config       *Config
	routesByHost map[string][]*Route
	services     map[string]*Service
}

// New returns the table of a configuration, which must not be changed
// afterwards.
func New(config *Config) *Table {
	t := &Table{config: config, routesByHost: map[string][]*Route{}, services: make(map[string]*Service, len(config.Services))}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	return t
}

// Config returns the configuration that the table was built from.
func (t *Table) Config() *Config { return t.config }

// Match returns the route of the host with the longest prefix that matches the
// path, or nil. host may include a port and uri a query.
func (t *Table) Match(host, uri string) *Route {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	path, _, _ := strings.Cut(uri, "?")
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a published service, or nil if there is none with that name.
func (t *Table) Service(name string) *Service { return t.services[name] }

package routetable

import (
	"net"
	"sort"
	"strings"
)

// Table finds the route of a request. It does not change after New and is safe
// for concurrent use.
type Table struct {
	config *Config
	hosts  map[string][]*Route
	known  map[string]*Service
}

// New returns the table of a configuration, which must not change afterwards.
func New(c *Config) *Table {
	t := &Table{config: c, hosts: map[string][]*Route{}, known: make(map[string]*Service, len(c.Services))}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Services {
		t.known[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Config returns the configuration of the table.
func (t *Table) Config() *Config { return t.config }

// Match returns the route with the longest prefix that begins the path, or nil.
// The host may hold a port; uri may hold a query.
func (t *Table) Match(host, uri string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path, _, _ := strings.Cut(uri, "?")
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a published service, or nil.
func (t *Table) Service(name string) *Service { return t.known[name] }

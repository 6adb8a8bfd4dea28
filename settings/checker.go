package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/hashicorp/go-hclog"
)

const (
	maxSeeds     = 64
	maxSlots     = 100_000
	minRetention = time.Minute
	maxRetention = 366 * 24 * time.Hour
)

// checker converts a settings file to Settings and collects its faults.
type checker struct {
	// undecoded holds the fields that the decoder could not read. Their values
	// are not checked again.
	undecoded map[string]bool
	faults    []kind.FieldError
}

func (c *checker) check(field, value string, ok bool, allowed string) {
	if !ok && !c.undecoded[field] {
		c.faults = append(c.faults, kind.FieldError{Field: field, Value: value, Allowed: allowed})
	}
}

func (c *checker) settings(f *settingsFile) *Settings {
	s := &Settings{Region: f.Region, FailureDomain: f.FailureDomain, LogURL: f.LogURL, LogRetention: DefaultLogRetention, LogLevel: hclog.Info}
	if !c.undecoded["addresses"] {
		s.Addresses = c.addresses(&f.Addresses)
	}
	c.check("region", f.Region, policy.ValidName(f.Region), "a name in lower-case letters, digits and hyphens")
	c.check("failure_domain", f.FailureDomain, policy.ValidName(f.FailureDomain), "a name in lower-case letters, digits and hyphens")
	u, err := url.Parse(f.LogURL)
	c.check("log_url", f.LogURL, err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.User == nil, "an http or https URL without user and query")
	if ms := f.LogRetentionMS; ms != nil {
		c.check("log_retention_ms", strconv.FormatInt(*ms, 10), *ms >= minRetention.Milliseconds() && *ms <= maxRetention.Milliseconds(),
			fmt.Sprintf("milliseconds from %d to %d", minRetention.Milliseconds(), maxRetention.Milliseconds()))
		s.LogRetention = time.Duration(*ms) * time.Millisecond
	}
	c.check("seeds", strconv.Itoa(len(f.Seeds))+" seeds", len(f.Seeds) <= maxSeeds, fmt.Sprintf("at most %d seeds", maxSeeds))
	for i, seed := range f.Seeds {
		s.Seeds = append(s.Seeds, c.destination(fmt.Sprintf("seeds[%d]", i), seed))
	}
	if t := f.Target; t != nil {
		s.Target = c.target(t)
	}
	if l := f.LogLevel; l != nil {
		s.LogLevel = hclog.LevelFromString(*l)
		c.check("log_level", *l, s.LogLevel != hclog.NoLevel && s.LogLevel != hclog.Off, "trace, debug, info, warn or error")
	}
	return s
}

func (c *checker) addresses(f *addressesSection) Addresses {
	a := Addresses{
		Caller:     c.listenAddress("addresses.caller", f.Caller),
		TargetSide: c.listenAddress("addresses.target_side", f.TargetSide),
		Peer:       c.listenAddress("addresses.peer", f.Peer),
		Gossip:     c.listenAddress("addresses.gossip", f.Gossip),
		Admin:      c.listenAddress("addresses.admin", f.Admin),
	}
	c.check("addresses.target_side", f.TargetSide, !a.TargetSide.IsValid() || a.TargetSide.Addr().IsLoopback(), "a loopback address; its callers are trusted")
	c.check("addresses.peer", f.Peer, !a.Peer.IsValid() || !a.Peer.Addr().IsUnspecified(), "the IP address that other nodes use")
	c.check("addresses.gossip", f.Gossip, !a.Gossip.IsValid() || !a.Gossip.Addr().IsUnspecified(), "the IP address that other nodes use")
	// Gossip uses UDP and therefore cannot conflict with the TCP listeners.
	listeners := []struct {
		field   string
		address netip.AddrPort
	}{{"addresses.caller", a.Caller}, {"addresses.target_side", a.TargetSide}, {"addresses.peer", a.Peer}, {"addresses.admin", a.Admin}}
	for i, l := range listeners {
		for _, other := range listeners[:i] {
			c.check(l.field, l.address.String(), !conflict(l.address, other.address), "a port not used by "+other.field)
		}
	}
	return a
}

// conflict reports whether two TCP listeners cannot be open at the same time.
func conflict(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() == 0 || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// listenAddress parses an address to listen on.
func (c *checker) listenAddress(field, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	c.check(field, text, err == nil, "IP:PORT, such as 10.0.0.1:7000")
	return a
}

// destination parses the address of another process.
func (c *checker) destination(field, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	c.check(field, text, err == nil && a.Port() != 0 && !a.Addr().IsUnspecified(), "IP:PORT, such as 10.0.0.1:7003")
	return a
}

func (c *checker) target(f *targetSection) *Target {
	t := &Target{Name: policy.ServiceName{Customer: f.Customer, Service: f.Service}, Slots: f.Slots}
	c.check("target.customer", f.Customer, policy.ValidName(f.Customer), "a DNS label in lower case")
	c.check("target.service", f.Service, policy.ValidName(f.Service), "a DNS label in lower case")
	t.Address = c.destination("target.address", f.Address)
	c.check("target.slots", strconv.Itoa(f.Slots), f.Slots >= 1 && f.Slots <= maxSlots, fmt.Sprintf("an integer from 1 to %d", maxSlots))
	return t
}

package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/node"
	"github.com/goldcrestsail/goldcrestsail/settings"
)

func newNodeCommand() *command {
	var path string
	sub := flaggy.NewSubcommand("node")
	sub.Description = "Run the node beside a target instance."
	sub.String(&path, "", "settings", "Settings file, JSON with comments.")
	return &command{sub: sub, run: func() int {
		if path == "" {
			return fail(fmt.Errorf("%w: --settings is required", errUsage))
		}
		s, err := settings.Load(path)
		if err != nil {
			return fail(err)
		}
		return runNode(s)
	}}
}

// memoryLimitBytes is the soft memory limit of the garbage collector. It keeps
// the process within the 64 MB that a node may use: with a full claim table the
// live heap is about 40 MB and would otherwise double between collections. The
// environment variable GOMEMLIMIT overrides it.
const memoryLimitBytes = 56 << 20

// gcPercent lets the heap grow to five times its live size within the memory
// limit. At the default of 100, collections contribute to the added latency at
// the 99th percentile. The environment variable GOGC overrides it.
const gcPercent = 400

// runNode runs a node until it has drained and left the cluster. The first
// signal starts the drain, the second ends the process at once.
func runNode(s *settings.Settings) int {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "goldcrestsail", Level: s.LogLevel, Output: os.Stderr, JSONFormat: true})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	n := node.New(nodeConfig(s, log))
	if err := n.Start(); err != nil {
		return fail(err)
	}
	for {
		select {
		case <-n.Done():
			return exitOK
		case received := <-signals:
			if n.Draining() {
				log.Error("second signal; ending at once", "signal", received.String(), "requests_lost", n.InProgress())
				n.Close()
				return exitFailure
			}
			n.StartDrain()
		}
	}
}

func nodeConfig(s *settings.Settings, log hclog.Logger) node.Config {
	c := node.Config{
		CallerAddress: s.Addresses.Caller.String(), TargetSideAddress: s.Addresses.TargetSide.String(),
		PeerAddress: s.Addresses.Peer.String(), GossipAddress: s.Addresses.Gossip.String(), AdminAddress: s.Addresses.Admin.String(),
		Region: s.Region, FailureDomain: s.FailureDomain, LogRetention: s.LogRetention, Logger: log,
		Log: logservice.NewHTTPClient(logservice.HTTPOptions{URL: s.LogURL}),
	}
	for _, seed := range s.Seeds {
		c.Seeds = append(c.Seeds, seed.String())
	}
	if t := s.Target; t != nil {
		c.Announcement = &node.Announcement{
			Customer: t.Name.Customer, Service: t.Name.Service, Address: t.Address.String(), Slots: t.Slots, State: node.Ready,
		}
	}
	return c
}

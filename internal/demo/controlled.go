package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/node"
)

// readyTimeout bounds the wait until every node can reach every service.
const readyTimeout = 20 * time.Second

// controlledSystem routes calls through nodes, one beside each target.
type controlledSystem struct {
	started []*target.Target
	nodes   []*node.Node
	stopLog func()
}

func startControlled(d *deployment, ledger *target.Ledger, seed uint64) (system, error) {
	log, stopLog, err := startLog()
	if err != nil {
		return nil, err
	}
	s := &controlledSystem{stopLog: stopLog}
	if err := s.start(d, log, ledger, seed); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *controlledSystem) start(d *deployment, log logservice.Client, ledger *target.Ledger, seed uint64) error {
	for i := range d.services {
		if _, err := log.Append(context.Background(), configlog.Stream, d.record(&d.services[i], uuid.NewString()).Encode()); err != nil {
			return err
		}
	}
	for i, svc := range d.services {
		for j := range svc.targets {
			if err := s.startInstance(d, &d.services[i], d.domains[j%len(d.domains)], log, ledger, seed+uint64(100*i+j)); err != nil {
				return err
			}
		}
	}
	return s.waitReady(d)
}

// startInstance starts a node and the target beside it. All nodes but the first
// join the cluster through the first.
func (s *controlledSystem) startInstance(d *deployment, svc *service, domain string, log logservice.Client, ledger *target.Ledger, seed uint64) error {
	var seeds []string
	if len(s.nodes) > 0 {
		seeds = []string{s.nodes[0].GossipAddress()}
	}
	const anyPort = "127.0.0.1:0"
	n := node.New(node.Config{
		CallerAddress: anyPort, TargetSideAddress: anyPort, PeerAddress: anyPort, GossipAddress: anyPort, AdminAddress: anyPort,
		Region: d.region, FailureDomain: domain, Seeds: seeds, Log: log, Seed: seed + 1,
	})
	if err := n.Start(); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	t := target.New(d.targetConfig(svc, n.Address("target-side"), ledger, seed))
	if err := t.Start(); err != nil {
		return err
	}
	s.started = append(s.started, t)
	return nil
}

// waitReady waits until each node sees all targets as ready.
func (s *controlledSystem) waitReady(d *deployment) error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range s.nodes {
		for n.ReadyTargets() < len(s.nodes) {
			if time.Now().After(deadline) {
				return kind.Newf(kind.NoTarget, "node %s: %d of %d targets ready after %s", n.ID(), n.ReadyTargets(), len(s.nodes), readyTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (s *controlledSystem) entryAddresses() []string {
	var all []string
	for _, n := range s.nodes {
		all = append(all, n.Address("caller"))
	}
	return all
}

func (s *controlledSystem) targets() []*target.Target { return s.started }

func (s *controlledSystem) stop() {
	for _, t := range s.started {
		t.Stop()
	}
	for _, n := range s.nodes {
		n.Close()
	}
	s.stopLog()
	http.DefaultClient.CloseIdleConnections()
}

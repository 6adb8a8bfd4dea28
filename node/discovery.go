package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"
)

// nodesStream is the log stream that holds the gossip addresses of a few nodes,
// so that a node whose seeds are all unreachable can still join. It is read
// once, at startup.
const nodesStream = "nodes"

const (
	// maxPublishedAddresses is the number of nodes that publish their address in
	// the log. A joining node needs only one of them to respond.
	maxPublishedAddresses = 8
	// discoveryTimeout limits how long the read of the log delays startup.
	discoveryTimeout = 500 * time.Millisecond
	// maxAddressRecords limits the records read. Each publisher appends four
	// times per retention period, so the newest addresses are among them.
	maxAddressRecords = 512
	// addressCheckInterval is how often a node checks whether it must publish
	// its address again.
	addressCheckInterval = time.Minute
)

// addressRecord is a record of nodesStream.
type addressRecord struct {
	ID     string `json:"id"`
	Gossip string `json:"gossip"`
}

// discoverSeeds returns the newest addresses in the log, or none if the log
// service does not respond within discoveryTimeout.
func (n *Node) discoverSeeds() []netip.AddrPort {
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	batch, err := n.config.Log.Read(ctx, nodesStream, 0, maxAddressRecords, 0)
	if err != nil {
		n.log.Info("failed to read node addresses from the log", "error", err)
		return nil
	}
	var addresses []netip.AddrPort
	for _, r := range slices.Backward(batch.Records) {
		var record addressRecord
		if json.Unmarshal(r.Data, &record) != nil {
			continue
		}
		address, err := netip.ParseAddrPort(record.Gossip)
		if err != nil || slices.Contains(addresses, address) {
			continue
		}
		if addresses = append(addresses, address); len(addresses) == maxPublishedAddresses {
			break
		}
	}
	return addresses
}

// publishAddress appends the node's address to the log at startup if fewer than
// maxPublishedAddresses were discovered, and later once per quarter of the
// retention period while the node's rank makes it a publisher.
func (n *Node) publishAddress(ctx context.Context, discovered int) {
	var lastPublished time.Time
	if discovered < maxPublishedAddresses && n.appendAddress(ctx) {
		lastPublished = time.Now()
	}
	ticker := time.NewTicker(addressCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		due := time.Since(lastPublished) > n.config.LogRetention/4
		if due && rendezvousRank(n.gossip.Members(), n.id, "") < maxPublishedAddresses && n.appendAddress(ctx) {
			lastPublished = time.Now()
		}
	}
}

func (n *Node) appendAddress(ctx context.Context) bool {
	data, err := json.Marshal(addressRecord{ID: n.id.String(), Gossip: n.GossipAddress()})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if _, err := n.config.Log.Append(ctx, nodesStream, data); err != nil {
		n.log.Info("failed to append the node address to the log", "error", err)
		return false
	}
	return true
}

package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"
)

// The stream nodes holds gossip addresses of a few nodes, so that a node whose
// seeds are all gone still finds the others. It is read once at the start and
// is not needed afterwards.
const nodesStream = "nodes"

const (
	// announcers is how many nodes keep their address in the log; that some of
	// them are gone does not matter as long as one answers.
	announcers = 8
	// discoveryTimeout bounds the read at the start; the seeds do not wait longer.
	discoveryTimeout = 500 * time.Millisecond
	// maxAddressRecords bounds the read. The announcers append four times per
	// retention, so the newest addresses are among the records.
	maxAddressRecords = 512
	// announceCheck is how often a node looks whether its address is due.
	announceCheck = time.Minute
)

// addressRecord is one record of the stream nodes.
type addressRecord struct {
	ID     string `json:"id"`
	Gossip string `json:"gossip"`
}

// discover returns the newest addresses in the log, or none when it does not
// answer in time.
func (n *Node) discover() []netip.AddrPort {
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	batch, err := n.config.Log.Read(ctx, nodesStream, 0, maxAddressRecords, 0)
	if err != nil {
		n.log.Info("no node addresses from the log", "error", err)
		return nil
	}
	var found []netip.AddrPort
	for _, r := range slices.Backward(batch.Records) {
		var record addressRecord
		if json.Unmarshal(r.Data, &record) != nil {
			continue
		}
		address, err := netip.ParseAddrPort(record.Gossip)
		if err != nil || slices.Contains(found, address) {
			continue
		}
		if found = append(found, address); len(found) == announcers {
			break
		}
	}
	return found
}

// announceAddress keeps the node's address in the log: at the start when few
// are there, and later when the node is among the announcers.
func (n *Node) announceAddress(ctx context.Context, found int) {
	var last time.Time
	if found < announcers && n.appendAddress(ctx) {
		last = time.Now()
	}
	ticker := time.NewTicker(announceCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		due := time.Since(last) > n.config.LogRetention/4
		if due && rendezvousRank(n.gossip.Members(), n.id, "") < announcers && n.appendAddress(ctx) {
			last = time.Now()
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
		n.log.Info("address not appended to the log", "error", err)
		return false
	}
	return true
}

package mesh

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/registration"
)

const (
	// departureAnswers is how many peers have to answer before the departures that
	// they tell count as complete. Some of them may have just started as well.
	departureAnswers = 3
	// departureAskInterval is the interval between questions to further peers, since
	// a started node gets to know its peers one by one.
	departureAskInterval = 50 * time.Millisecond
	// departureAskTimeout bounds the wait for the answer of one peer.
	departureAskTimeout = 500 * time.Millisecond
)

// encodedDeparturesOf returns the departures of an instance that gossip has told this
// node, as JSON.
func (n *Node) encodedDeparturesOf(instance string) []byte {
	departures := []registration.Departure{}
	for _, b := range n.gossip.Broadcasts() {
		var m departureMessage
		if b.Kind == departureBroadcastKind && json.Unmarshal(b.Payload, &m) == nil && m.Instance == instance {
			departures = append(departures, m.Departure)
		}
	}
	encoded, err := json.Marshal(departures)
	if err != nil {
		n.log.Error("failed to encode departures", "instance_asked", instance, "error", err)
	}
	return encoded
}

// askForDepartures asks peers for the departures of this instance, one after the
// other, until departureAnswers of them, or all if fewer are recorded, have answered.
// In a large deployment with many departures, gossip takes longer than this node may
// wait. It reports false if the time for it has ended.
func (n *Node) askForDepartures(ctx context.Context, recorded int) bool {
	ctx, cancel := context.WithTimeout(ctx, departuresTimeout)
	defer cancel()
	var asked []netip.AddrPort
	answers := make(chan bool, departureAnswers)
	answered := 0
	for ctx.Err() == nil {
		if answered >= min(departureAnswers, recorded) {
			n.log.Info("departures of the instance known from peers", "peers", answered, "departures", len(n.departures()))
			return true
		}
		peers := slices.DeleteFunc(n.presentPeers(), func(p netip.AddrPort) bool { return slices.Contains(asked, p) })
		if len(peers) > 0 {
			peer := peers[rand.IntN(len(peers))]
			asked = append(asked, peer)
			go func() {
				ok := n.askPeerForDepartures(ctx, peer)
				select {
				case answers <- ok:
				case <-ctx.Done():
				}
			}()
		}
		select {
		case ok := <-answers:
			if ok {
				answered++
			}
		case <-time.After(departureAskInterval):
		case <-ctx.Done():
		}
	}
	return false
}

// askPeerForDepartures asks one peer, and reports whether it has answered.
func (n *Node) askPeerForDepartures(ctx context.Context, peer netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, departureAskTimeout)
	defer cancel()
	encoded, failure := n.peers.Get(peer.String()).Departures(ctx, n.config.Name)
	if failure != nil {
		n.log.Info("failed to ask a peer for departures", "peer", peer.String(), "error", failure.Error())
		return false
	}
	var departures []registration.Departure
	if err := json.Unmarshal(encoded, &departures); err != nil {
		n.log.Warn("failed to decode departures from peer", "peer", peer.String(), "error", err)
		return false
	}
	n.learnDepartures(departures...)
	return true
}

package peerlink

import (
	"context"
	"encoding/binary"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// WatchResult is the response to a follower of the configuration.
type WatchResult struct {
	// Confirmed reports that the peer reads the configuration from the store.
	Confirmed bool
	// Config is a newer encoded configuration, or empty if there is none.
	Config []byte
}

// WatchConfig asks the peer for a configuration newer than the given version. The
// peer holds the response for a while if it has none. While it does, the connection
// is not probed: ctx bounds the wait. A peer of an earlier version does not respond.
func (c *Client) WatchConfig(ctx context.Context, version uint64) (WatchResult, *kind.Error) {
	s, failure := c.connect(ctx)
	if failure != nil {
		return WatchResult{}, failure
	}
	f, failure := s.roundTrip(ctx, frame{kind: frameWatch, body: binary.AppendUvarint(nil, version)})
	if failure != nil {
		return WatchResult{}, failure
	}
	if f.kind != frameWatched || len(f.body) == 0 {
		s.fail(errMalformedFrame)
		return WatchResult{}, kind.Newf(kind.PeerLost, "peer %s: %v", c.address, errMalformedFrame)
	}
	return WatchResult{Confirmed: f.body[0] != 0, Config: f.body[1:]}, nil
}

// serveWatch responds to a follower.
func (s *Server) serveWatch(ctx context.Context, f frame) frame {
	response := frame{kind: frameWatched, id: f.id, body: []byte{0}}
	version, n := binary.Uvarint(f.body)
	if n <= 0 || s.WatchConfig == nil {
		return response
	}
	result := s.WatchConfig(ctx, version)
	if result.Confirmed {
		response.body[0] = 1
	}
	response.body = append(response.body, result.Config...)
	return response
}

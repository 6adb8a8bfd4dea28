package peerlink

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// Guards against a spoiled head that a peer of an earlier version passes on.
func TestSpoiledHeadOfPeerIsNoResponse(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		field  message.Field
		valid  bool
	}{
		"valid":                   {200, message.Field{Name: "X-Note", Value: "a\tb \xf6"}, true},
		"blank in a name":         {200, message.Field{Name: "2026-12-05 11", Value: "n"}, false},
		"blank after a name":      {200, message.Field{Name: "Content-Length ", Value: "4"}, false},
		"control byte in a name":  {200, message.Field{Name: "X-No\x01te", Value: "n"}, false},
		"control byte in a value": {200, message.Field{Name: "X-Note", Value: "a\rb"}, false},
		"status 600":              {600, message.Field{Name: "X-Note", Value: "n"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &message.Reply{Response: &message.Response{Status: c.status, Header: []message.Field{c.field}}}
			rejectSpoiledHead(r, nil)
			if c.valid {
				require.NotNil(t, r.Response)
				return
			}
			require.Nil(t, r.Response)
			require.Equal(t, kind.AnswerMismatched, r.Failure.Kind)
			require.Equal(t, kind.MayHaveRun, r.Failure.Run)
		})
	}
}

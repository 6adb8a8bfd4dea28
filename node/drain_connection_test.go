package node

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// Guards against a draining node that keeps caller connections open and loses a
// request that arrives on one of them while the node exits.
func TestDrainClosesCallerConnections(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", nil)
	n, _ := f.addTarget(target.Config{Service: "front"})
	f.waitReady()
	get := func() *http.Response {
		r, err := http.NewRequest(http.MethodGet, "http://"+n.Address("caller")+"/x", nil)
		require.NoError(t, err)
		r.Host = "front.acme"
		response, err := f.client.Do(r)
		require.NoError(t, err)
		response.Body.Close()
		return response
	}
	require.False(t, get().Close)
	n.StartDrain()
	refused := get()
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.True(t, refused.Close)
}

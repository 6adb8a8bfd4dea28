package node

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// Guards against a draining node that keeps the connections of its callers open
// and cuts off the request that one of them sends when it leaves.
func TestDrainEndsCallerConnections(t *testing.T) {
	f := newFixture(t)
	f.publish("front", nil)
	n, _ := f.add(target.Config{Service: "front"})
	f.ready()
	ask := func() *http.Response {
		r, err := http.NewRequest(http.MethodGet, "http://"+n.Address("caller")+"/x", nil)
		require.NoError(t, err)
		r.Host = "front.acme"
		response, err := f.client.Do(r)
		require.NoError(t, err)
		response.Body.Close()
		return response
	}
	require.False(t, ask().Close)
	n.StartDrain()
	refused := ask()
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.True(t, refused.Close)
}

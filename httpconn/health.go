package httpconn

import (
	"context"
	"net/http"

	"github.com/goldcrestsail/goldcrestsail/internal/httphead"
)

// HealthAnswer is the response of a target to a health check.
type HealthAnswer struct {
	Status int
	// TargetID is the ID of the target that has answered, "" if it does not say so.
	TargetID string
	// NotRun reports that the target had no room for the check.
	NotRun bool
	// Leaving reports that the target has announced to leave.
	Leaving bool
}

// CheckHealth asks the target for its health at a path, on a connection of its own. The
// error is that of the connection.
func (t *Target) CheckHealth(ctx context.Context, path string) (HealthAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.cfg.Address+path, nil)
	if err != nil {
		return HealthAnswer{}, err
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: int64(t.cfg.MaxHeadBytes)}
	defer transport.CloseIdleConnections()
	response, err := (&httphead.Transport{Base: transport}).RoundTrip(r)
	if err != nil {
		return HealthAnswer{}, err
	}
	// The body says nothing more, and may have no end.
	_ = response.Body.Close()
	names, h := &t.cfg.Names, response.Header
	return HealthAnswer{
		Status: response.StatusCode, TargetID: h.Get(names.TargetID), NotRun: h.Get(names.NotRun) != "",
		Leaving: parseTargetNotice(h, names).Leaving,
	}, nil
}

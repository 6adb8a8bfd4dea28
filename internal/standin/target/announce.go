package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// announceInterval is shorter than the time after which a node considers a
// target without announcements to be down.
const announceInterval = 500 * time.Millisecond

type announcement struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
}

func (t *Target) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		t.announceOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Target) announceOnce(ctx context.Context) {
	state := "ready"
	if t.draining.Load() {
		state = "draining"
	}
	address := t.config.AnnouncedAddress
	if address == "" {
		address = t.Address()
	}
	body, err := json.Marshal(announcement{t.config.Customer, t.config.Service, address, t.config.Slots, t.config.Slots, state})
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.config.NodeAddress+"/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	// A failed announcement is repeated at the next interval.
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
	}
}

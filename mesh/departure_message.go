package mesh

import "github.com/goldcrestsail/goldcrestsail/registration"

// departureMessage is the payload of a departure broadcast.
type departureMessage struct {
	// Instance is the instance of the target's node. Nodes of earlier versions leave
	// it out.
	Instance string `json:"instance,omitempty"`
	registration.Departure
}

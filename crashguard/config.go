package crashguard

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/quarantine"
)

// Config configures a Guard.
type Config struct {
	Table quarantine.Config
	// Broadcast sends a message to all other nodes.
	Broadcast func(membership.Broadcast)
	// TrialWait limits how long Begin waits for the end of another suspect's run.
	TrialWait time.Duration
	// ReportWait limits how long Begin waits for the report of a crash that the sender
	// of a request knows about, unless Table.RequireTrial is set: then the sender's
	// knowledge is enough.
	ReportWait time.Duration
}

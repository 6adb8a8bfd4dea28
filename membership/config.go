package membership

import (
	"net/netip"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Config configures a Node. Zero fields take the default given beside them;
// ID and Addr have none.
type Config struct {
	// ID is a fresh UUID per process start.
	ID uuid.UUID
	// Addr is the address at which other members reach this node's socket.
	Addr netip.AddrPort
	// Meta is the metadata published at the start.
	Meta Meta
	// Seeds are addresses of members to join through. The node's own address
	// among them is skipped. A node without seeds waits to be found.
	Seeds []netip.AddrPort
	// Cluster keeps clusters on one network apart; datagrams of another
	// cluster are dropped.
	Cluster string
	// ConfigOffset is the configuration offset at the start.
	ConfigOffset uint64

	// ProbeInterval is the time between two probes (1 s).
	ProbeInterval time.Duration
	// ProbeAttempt is the time between the attempts of one probe (250 ms).
	// An attempt must outlast the round trip between any two members.
	ProbeAttempt time.Duration
	// IndirectProbes is how many peers are asked at once to probe a member
	// that does not answer (3).
	IndirectProbes int
	// SuspicionFactor times log10(members) times ProbeInterval is the
	// shortest suspicion timeout (2).
	SuspicionFactor float64
	// SuspicionMaxFactor times the shortest is the longest suspicion timeout,
	// which holds until other members confirm the suspicion (3).
	SuspicionMaxFactor float64
	// MaxHealthScore bounds the local health score; probe times are multiplied
	// by the score plus one (8).
	MaxHealthScore int
	// UrgentInterval is the time between two rounds of urgent sends (200 ms).
	UrgentInterval time.Duration
	// UrgentFanout is how many random members each urgent round reaches (3).
	UrgentFanout int
	// RetransmitFactor times log2(members+1) is how often each node sends an
	// update (1.5).
	RetransmitFactor float64
	// SyncInterval is the time between two digest exchanges (5 s).
	SyncInterval time.Duration
	// DeadProbeInterval is the time between two probes of dead members or
	// seeds (5 s).
	DeadProbeInterval time.Duration
	// DeadRetention is how long dead and departed members are remembered (1 h).
	DeadRetention time.Duration
	// MaxMembers bounds the present members, and MaxDead those remembered
	// beyond their death (8,192 and 4,096).
	MaxMembers, MaxDead int
	// MaxBroadcasts bounds the live broadcasts (1,024).
	MaxBroadcasts int
	// MaxDatagramBytes bounds a datagram without IP and UDP headers (1,200,
	// which avoids fragmentation on common paths).
	MaxDatagramBytes int
	// SendRateBytes is the long-term bound on bytes sent per second, IP and
	// UDP headers included (2,000).
	SendRateBytes int
	// SendBurstBytes is what may be sent at once after a quiet time (32,000).
	SendBurstBytes int
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithDefaults returns c with the defaults filled in.
func (c Config) WithDefaults() Config {
	setDefault(&c.ProbeInterval, time.Second)
	setDefault(&c.ProbeAttempt, 250*time.Millisecond)
	setDefault(&c.IndirectProbes, 3)
	setDefault(&c.SuspicionFactor, 2)
	setDefault(&c.SuspicionMaxFactor, 3)
	setDefault(&c.MaxHealthScore, 8)
	setDefault(&c.UrgentInterval, 200*time.Millisecond)
	setDefault(&c.UrgentFanout, 3)
	setDefault(&c.RetransmitFactor, 1.5)
	setDefault(&c.SyncInterval, 5*time.Second)
	setDefault(&c.DeadProbeInterval, 5*time.Second)
	setDefault(&c.DeadRetention, time.Hour)
	setDefault(&c.MaxMembers, 8192)
	setDefault(&c.MaxDead, 4096)
	setDefault(&c.MaxBroadcasts, 1024)
	setDefault(&c.MaxDatagramBytes, 1200)
	setDefault(&c.SendRateBytes, 2000)
	setDefault(&c.SendBurstBytes, 32000)
	return c
}

// Validate returns all faults of c, whose defaults must be filled in.
func (c Config) Validate() []kind.FieldError {
	var faults []kind.FieldError
	check := func(ok bool, field, value, allowed string) {
		if !ok {
			faults = append(faults, kind.FieldError{Field: field, Value: value, Allowed: allowed})
		}
	}
	check(c.ID != uuid.Nil, "id", c.ID.String(), "a UUID that is not zero")
	check(c.Addr.IsValid() && c.Addr.Port() != 0, "addr", c.Addr.String(), "an IP address with a port")
	check(validMeta(c.Meta), "meta", c.Meta.Service, "names, slots and a target state within bounds")
	for _, d := range []struct {
		field string
		value time.Duration
	}{
		{"probe_interval", c.ProbeInterval}, {"probe_attempt", c.ProbeAttempt},
		{"urgent_interval", c.UrgentInterval}, {"sync_interval", c.SyncInterval},
		{"dead_probe_interval", c.DeadProbeInterval}, {"dead_retention", c.DeadRetention},
	} {
		check(d.value >= time.Millisecond, d.field, d.value.String(), "at least 1ms")
	}
	for _, n := range []struct {
		field    string
		value    float64
		min, max float64
	}{
		{"indirect_probes", float64(c.IndirectProbes), 1, 16},
		{"suspicion_factor", c.SuspicionFactor, 0.1, 100},
		{"suspicion_max_factor", c.SuspicionMaxFactor, 1, 100},
		{"max_health_score", float64(c.MaxHealthScore), 1, 100},
		{"urgent_fanout", float64(c.UrgentFanout), 1, 16},
		{"retransmit_factor", c.RetransmitFactor, 0.1, 100},
		{"max_members", float64(c.MaxMembers), 2, 1 << 20},
		{"max_dead", float64(c.MaxDead), 1, 1 << 20},
		{"max_broadcasts", float64(c.MaxBroadcasts), 1, 1 << 20},
		{"max_datagram_bytes", float64(c.MaxDatagramBytes), minDatagramBytes, 65000},
		{"send_rate_bytes", float64(c.SendRateBytes), 300, 1 << 30},
		{"send_burst_bytes", float64(c.SendBurstBytes), float64(4 * c.MaxDatagramBytes), 1 << 30},
	} {
		check(n.value >= n.min && n.value <= n.max, n.field, formatNumber(n.value),
			formatNumber(n.min)+" to "+formatNumber(n.max))
	}
	return faults
}

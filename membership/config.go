package membership

import (
	"net/netip"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Config configures a Node. Fields that are zero take the default given in
// parentheses. ID and Addr are required.
type Config struct {
	// ID is a UUID that is generated at each process start.
	ID uuid.UUID
	// Addr is the address at which other members reach this node's socket.
	Addr netip.AddrPort
	// Meta is the initial metadata of the node.
	Meta Meta
	// Seeds are addresses of members to join through. The node's own address
	// is ignored. A node without seeds waits until another member contacts it.
	Seeds []netip.AddrPort
	// Cluster is the cluster name. Datagrams from a cluster with another name
	// are dropped.
	Cluster string
	// ConfigOffset is the initial configuration offset.
	ConfigOffset uint64

	// ProbeInterval is the time between the starts of two probes (1 s).
	ProbeInterval time.Duration
	// ProbeAttemptInterval is the time between the attempts of one probe
	// (250 ms). It must be longer than the round-trip time between any two
	// members.
	ProbeAttemptInterval time.Duration
	// IndirectProbes is how many peers each indirect attempt asks to ping a
	// member that does not answer (3).
	IndirectProbes int
	// SuspicionFactor times max(1, log10(members)) times ProbeInterval is the
	// minimum suspicion timeout (2).
	SuspicionFactor float64
	// SuspicionMaxFactor times the minimum is the maximum suspicion timeout,
	// which applies until other members confirm the suspicion (3).
	SuspicionMaxFactor float64
	// MaxHealthScore bounds the local health score; probe intervals are
	// multiplied by the score plus one (8).
	MaxHealthScore int
	// UrgentInterval is the time between two update rounds (200 ms).
	UrgentInterval time.Duration
	// UrgentFanout is how many random members an update round sends to (3).
	UrgentFanout int
	// RetransmitFactor times log2(members+1) is how many times each node sends
	// an urgent update, within fixed bounds (1.5). Other updates are sent a fixed
	// number of times.
	RetransmitFactor float64
	// SyncInterval is the time between two anti-entropy exchanges (5 s).
	SyncInterval time.Duration
	// DeadProbeInterval is the time between two probes of dead members or
	// seeds (5 s).
	DeadProbeInterval time.Duration
	// DeadRetention is how long dead and left members stay in the table (1 h).
	DeadRetention time.Duration
	// MaxMembers bounds the number of present members, and MaxDead that of dead
	// and left ones (8,192 and 4,096).
	MaxMembers, MaxDead int
	// MaxBroadcasts bounds the number of unexpired broadcasts (1,024).
	MaxBroadcasts int
	// MaxDatagramBytes bounds the UDP payload (1,200, which avoids
	// fragmentation on common paths).
	MaxDatagramBytes int
	// SendRateBytes is the long-term bound on bytes sent per second, IP and
	// UDP headers included (2,000).
	SendRateBytes int
	// SendBurstBytes is the largest burst of bytes above that rate (64,000).
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
	setDefault(&c.ProbeAttemptInterval, 250*time.Millisecond)
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
	setDefault(&c.SendBurstBytes, 64000)
	return c
}

// Validate returns one error for each invalid field of c. Defaults must have
// been filled in with WithDefaults.
func (c Config) Validate() []kind.FieldError {
	var errs []kind.FieldError
	check := func(ok bool, field, value, allowed string) {
		if !ok {
			errs = append(errs, kind.FieldError{Field: field, Value: value, Allowed: allowed})
		}
	}
	check(c.ID != uuid.Nil, "id", c.ID.String(), "a non-zero UUID")
	check(c.Addr.IsValid() && c.Addr.Port() != 0, "addr", c.Addr.String(), "an IP address with a port")
	check(validMeta(c.Meta), "meta", c.Meta.Service, "names, slots and a target state within bounds")
	for _, d := range []struct {
		field string
		value time.Duration
	}{
		{"probe_interval", c.ProbeInterval}, {"probe_attempt", c.ProbeAttemptInterval},
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
		check(n.value >= n.min && n.value <= n.max, n.field, formatFloat(n.value),
			formatFloat(n.min)+" to "+formatFloat(n.max))
	}
	return errs
}

package replay

// The faults of a trace.
const (
	// FaultSlow multiplies the service times of a service by Factor.
	FaultSlow = "slow"
	// FaultLogDown makes the log service refuse appends and reads.
	FaultLogDown = "log-down"
	// FaultSilent makes Share of the connections between Domain and the rest
	// carry no data; new connections work.
	FaultSilent = "silent"
	// FaultDrain makes target Target of a service drain and leave.
	FaultDrain = "drain"
	// FaultRestart makes target Target of a service start cold at At: its
	// service time is Factor times the normal one at first and falls over the
	// cold start time of the service.
	FaultRestart = "restart"
	// FaultLoseResponses loses Share of the responses to clients, whose
	// connections are reset.
	FaultLoseResponses = "lose-responses"
	// FaultLie makes target Target fail every request at once (Factor 0) or
	// run Factor times as slowly, while its endpoints report health and no load.
	FaultLie = "lie"
)

// Event is one line after the head: arrivals by phase, one recorded request,
// or a fault. Times are in milliseconds from the start of the trace.
type Event struct {
	At    int `json:"at_ms"`
	Until int `json:"until_ms,omitempty"`

	// Arrivals is the rate in requests per second of a Poisson process; Mix
	// gives the share of each operation.
	Arrivals *float64           `json:"arrivals_per_s,omitempty"`
	Mix      map[string]float64 `json:"mix,omitempty"`

	// A recorded request. Service is the entry service.
	Caller     string `json:"caller,omitempty"`
	Service    string `json:"service,omitempty"`
	Class      string `json:"class,omitempty"`
	Method     string `json:"method,omitempty"`
	Path       string `json:"path,omitempty"`
	Key        string `json:"key,omitempty"`
	DeadlineMS int    `json:"deadline_ms,omitempty"`

	// A fault, by the constants above.
	Fault  string  `json:"fault,omitempty"`
	Target int     `json:"target,omitempty"`
	Domain string  `json:"domain,omitempty"`
	Factor float64 `json:"factor,omitempty"`
	Share  float64 `json:"share,omitempty"`
}

package settings

// settingsFile is the JSON form of Settings. Fields with omitempty are
// optional.
type settingsFile struct {
	Addresses      addressesSection `json:"addresses"`
	Region         string           `json:"region"`
	FailureDomain  string           `json:"failure_domain"`
	LogURL         string           `json:"log_url"`
	LogRetentionMS *int64           `json:"log_retention_ms,omitempty"`
	Seeds          []string         `json:"seeds,omitempty"`
	Target         *targetSection   `json:"target,omitempty"`
	LogLevel       *string          `json:"log_level,omitempty"`
}

type addressesSection struct {
	Caller     string `json:"caller"`
	TargetSide string `json:"target_side"`
	Peer       string `json:"peer"`
	Gossip     string `json:"gossip"`
	Admin      string `json:"admin"`
}

type targetSection struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
}

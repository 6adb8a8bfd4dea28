package settings

// file is the text form of Settings. Fields with omitempty are optional.
type file struct {
	Addresses      fileAddresses `json:"addresses"`
	Region         string        `json:"region"`
	FailureDomain  string        `json:"failure_domain"`
	LogURL         string        `json:"log_url"`
	LogRetentionMS *int64        `json:"log_retention_ms,omitempty"`
	Seeds          []string      `json:"seeds,omitempty"`
	Target         *fileTarget   `json:"target,omitempty"`
	LogLevel       *string       `json:"log_level,omitempty"`
}

type fileAddresses struct {
	Caller     string `json:"caller"`
	TargetSide string `json:"target_side"`
	Peer       string `json:"peer"`
	Gossip     string `json:"gossip"`
	Admin      string `json:"admin"`
}

type fileTarget struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
}

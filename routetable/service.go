package routetable

// Service is the published configuration of a service.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// MaxConnections is the number of connections that a target accepts.
	MaxConnections int `json:"max_connections"`
}

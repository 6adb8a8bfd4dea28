package routetable

// Service is what operators publish about a service.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// MaxConnections bounds the connections that a target accepts.
	MaxConnections int `json:"max_connections"`
}

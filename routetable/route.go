package routetable

import "time"

// Route says where the requests of one host and path prefix go.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Clusters has at least one entry; a route without a split has one.
	Clusters []Cluster `json:"clusters"`
	// Unsafe reports that a request may run once at most.
	Unsafe bool `json:"unsafe"`
	// Timeout is the longest time that a caller is kept waiting; 0 means no
	// bound besides the caller's deadline.
	Timeout time.Duration `json:"timeout"`
	// Objective is the response time up to which a response has its full value;
	// 0 means that none is stated.
	Objective time.Duration `json:"objective"`
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int `json:"max_attempts"`
	// Importance of 0 is the highest.
	Importance int `json:"importance"`
}

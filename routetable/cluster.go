package routetable

// Cluster is one service of a weighted split.
type Cluster struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

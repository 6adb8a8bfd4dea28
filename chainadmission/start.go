package chainadmission

// Start is where a chain starts: the route of its root and, of a route with a split,
// the service that was chosen. Chains of one route that start at different services
// cause different runs.
type Start struct{ Route, Service string }

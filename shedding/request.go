package shedding

// Request describes a request at its entry node.
type Request struct {
	// Service is the name of the entry service in the form service.customer.
	Service string
	// Class and Importance are those of the request's class.
	Class      string
	Importance int
	// ChainLevel is the result of admission.ChainLevel for the chain ID.
	ChainLevel uint8
}

package shedding

// Request is a request at its entry node.
type Request struct {
	// Service is the entry service as service.customer.
	Service string
	// Class and Importance are those of the request's class.
	Class      string
	Importance int
	// ChainLevel is admission.ChainLevel of the chain ID.
	ChainLevel uint8
}

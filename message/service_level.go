package message

import "time"

// ServiceLevel is the admission level of a service further down a chain.
type ServiceLevel struct {
	Service string
	// Level is the admission level, never 0.
	Level uint32
	// Age is how old the level was when the reply was sent.
	Age time.Duration
}

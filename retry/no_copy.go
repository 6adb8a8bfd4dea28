package retry

// noCopy makes the copylocks check of go vet report copies of the struct that
// holds it.
type noCopy struct{}

// Lock marks the type as one that must not be copied.
func (*noCopy) Lock() {}

// Unlock marks the type as one that must not be copied.
func (*noCopy) Unlock() {}

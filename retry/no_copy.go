package retry

// noCopy makes the copylocks check of go vet report copies of a struct that
// contains it.
type noCopy struct{}

// Lock makes copylocks treat the type as a lock.
func (*noCopy) Lock() {}

// Unlock is the counterpart of Lock.
func (*noCopy) Unlock() {}

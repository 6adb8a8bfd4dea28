package message

// Visit says how often a chain ran at a service.
type Visit struct {
	Service string
	Runs    uint32
}

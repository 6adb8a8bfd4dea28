package message

// Visit counts the requests of a chain that ran at a service.
type Visit struct {
	Service string
	Runs    uint32
}

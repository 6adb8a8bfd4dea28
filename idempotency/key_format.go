package idempotency

// KeyFormat is the format of an idempotency key. Its values are part of the
// record format and must not be renumbered.
type KeyFormat uint8

// The key formats.
const (
	// FormatOpaque is a string of neither of the other formats; it carries no
	// time.
	FormatOpaque KeyFormat = 1
	// FormatUUIDv7 is a UUID version 7; it carries the client's time.
	FormatUUIDv7 KeyFormat = 2
	// FormatIssued is a key issued by a process of this system; only that
	// process executes it.
	FormatIssued KeyFormat = 3
)

// String implements fmt.Stringer.
func (f KeyFormat) String() string {
	switch f {
	case FormatOpaque:
		return "opaque"
	case FormatUUIDv7:
		return "uuid-v7"
	case FormatIssued:
		return "issued"
	}
	return "invalid"
}

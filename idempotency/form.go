package idempotency

// Form is the form of an idempotency key. Its values are part of the record
// format and must not be renumbered.
type Form uint8

// The forms of keys.
const (
	// FormOpaque is any other string; it carries no time.
	FormOpaque Form = 1
	// FormUUIDv7 is a UUID version 7; it carries the client's time.
	FormUUIDv7 Form = 2
	// FormIssued is a key handed out by a process, which alone executes it.
	FormIssued Form = 3
)

// String returns the name of the form.
func (f Form) String() string {
	switch f {
	case FormOpaque:
		return "opaque"
	case FormUUIDv7:
		return "uuid-v7"
	case FormIssued:
		return "issued"
	}
	return "invalid"
}

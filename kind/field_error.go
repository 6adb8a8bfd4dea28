package kind

import "fmt"

// FieldError is one fault in checked input: settings, records or headers.
type FieldError struct {
	// Field is the path of the field, such as classes[2].importance.
	Field string
	// Value is the value found, as text.
	Value string
	// Allowed says what would be accepted.
	Allowed string
}

// Error implements error.
func (f FieldError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed, want %s", f.Field, f.Value, f.Allowed)
}

package kind

import "fmt"

// FieldError describes one invalid field of settings, a record or a header.
type FieldError struct {
	// Field is the path of the field, such as classes[2].importance.
	Field string
	// Value is the invalid value as text.
	Value string
	// Allowed describes the accepted values.
	Allowed string
}

// Error implements error.
func (f FieldError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed, want %s", f.Field, f.Value, f.Allowed)
}

package message

// Field is a header field that is forwarded end to end.
type Field struct{ Name, Value string }

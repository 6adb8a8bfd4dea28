package message

// Field is one header field that is forwarded end to end.
type Field struct{ Name, Value string }

package httpconn

import (
	"net/http"
	"strings"

	"github.com/goldcrestsail/goldcrestsail/message"
)

// hopByHopFields apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1). Content-Length is set anew on each connection.
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// endToEndFields returns the fields to forward, without the excluded ones.
func endToEndFields(h http.Header, excluded ...string) []message.Field {
	var fields []message.Field
	connectionFields := connectionOptions(h)
next:
	for name, values := range h {
		if hopByHopFields[name] || connectionFields[name] {
			continue
		}
		for _, e := range excluded {
			if name == e {
				continue next
			}
		}
		for _, v := range values {
			fields = append(fields, message.Field{Name: name, Value: v})
		}
	}
	return fields
}

// connectionOptions returns the names listed in the Connection field.
func connectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	fieldNames := map[string]bool{}
	for _, v := range values {
		for _, option := range strings.Split(v, ",") {
			fieldNames[http.CanonicalHeaderKey(strings.TrimSpace(option))] = true
		}
	}
	return fieldNames
}

func appendFields(b []byte, fields []message.Field) []byte {
	for _, f := range fields {
		b = appendField(b, f.Name, f.Value)
	}
	return b
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

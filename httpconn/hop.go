package httpconn

import (
	"net/http"
	"strings"

	"github.com/goldcrestsail/goldcrestsail/message"
)

// hopByHopFields concern one connection only and are not forwarded (RFC 9110,
// section 7.6.1). Content-Length is set again for each connection.
var hopByHopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// endToEndFields returns the fields that are forwarded, without those named in drop.
func endToEndFields(h http.Header, drop ...string) []message.Field {
	var fields []message.Field
	named := connectionOptions(h)
next:
	for name, values := range h {
		if hopByHopFields[name] || named[name] {
			continue
		}
		for _, d := range drop {
			if name == d {
				continue next
			}
		}
		for _, v := range values {
			fields = append(fields, message.Field{Name: name, Value: v})
		}
	}
	return fields
}

// connectionOptions returns the fields that Connection names.
func connectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, v := range values {
		for _, option := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(option))] = true
		}
	}
	return named
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

// Package httphead checks heads and trailers of HTTP/1.1 messages that net/http has parsed.
// Its parser accepts blanks in field names, any three digits as a status and any version,
// and leaves these checks to its callers (RFC 9110, sections 5.1, 5.5, 5.6.2 and 15; RFC
// 9112, sections 2.3, 4, 5 and 6.1).
package httphead

package httphead

import (
	"strconv"
	"strings"
)

// Framing says where the body of a request ends.
type Framing struct {
	// Chunked reports that the body has the coding chunked.
	Chunked bool
	// Length is the length of the body in bytes if it is not chunked.
	Length int64
}

// CheckRequestHead checks the head of a request, with the empty line at its end,
// and returns the framing of the body. The error has class ErrMalformed. net/http accepts
// more: blanks before a colon, folded values, a length beside a coding (RFC 9112, sections
// 2.2, 3.2, 5 and 6.3). A line may end with LF alone.
func CheckRequestHead(head string) (Framing, error) {
	requestLine, rest, _ := strings.Cut(head, "\n")
	version, err := checkRequestLine(strings.TrimSuffix(requestLine, "\r"))
	if err != nil {
		return Framing{}, err
	}
	var lengths, codings, hosts []string
	for {
		line, after, ok := strings.Cut(rest, "\n")
		if !ok {
			return Framing{}, malformed("the head does not end with an empty line")
		}
		rest = after
		if line = strings.TrimSuffix(line, "\r"); line == "" {
			break
		}
		name, value, err := splitField(line)
		if err != nil {
			return Framing{}, err
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			lengths = append(lengths, value)
		case strings.EqualFold(name, "Transfer-Encoding"):
			codings = append(codings, value)
		case strings.EqualFold(name, "Host"):
			hosts = append(hosts, value)
		}
	}
	if len(hosts) > 1 || len(hosts) == 0 && version != "HTTP/1.0" {
		return Framing{}, malformed("%d Host fields, want one", len(hosts))
	}
	return framingOf(version, lengths, codings)
}

func checkRequestLine(line string) (version string, err error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !ValidField(parts[0], line) || parts[1] == "" {
		return "", malformed("request line %.*q, want a method, a target and a version", maxQuotedBytes, line)
	}
	if version = parts[2]; version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", malformed("version %.*q, want HTTP/1.1", maxQuotedBytes, version)
	}
	return version, nil
}

// splitField returns the name and the value of a field line.
func splitField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !ok || !ValidField(name, value) {
		return "", "", malformed("field %.*q, want a token, a colon, and a value without control bytes", maxQuotedBytes, name)
	}
	return name, value, nil
}

func framingOf(version string, lengths, codings []string) (Framing, error) {
	switch {
	case len(codings) > 1, len(codings) == 1 && !strings.EqualFold(codings[0], "chunked"):
		return Framing{}, malformed("transfer coding %.*q, want chunked", maxQuotedBytes, strings.Join(codings, ", "))
	case len(codings) == 1 && version == "HTTP/1.0":
		return Framing{}, malformed("a transfer coding in version 1.0")
	case len(codings) == 1 && len(lengths) > 0:
		return Framing{}, malformed("a length beside a transfer coding")
	case len(codings) == 1:
		return Framing{Chunked: true}, nil
	case len(lengths) == 0:
		return Framing{}, nil
	case len(lengths) > 1:
		return Framing{}, malformed("%d Content-Length fields, want one", len(lengths))
	}
	length, err := parseDigits(lengths[0], 10)
	if err != nil {
		return Framing{}, malformed("length %.*q, want digits", maxQuotedBytes, lengths[0])
	}
	return Framing{Length: length}, nil
}

// parseDigits parses a number without a sign or a prefix.
func parseDigits(text string, base int) (int64, error) {
	if strings.HasPrefix(text, "+") || strings.HasPrefix(text, "-") {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseInt(text, base, 64)
}

package httphead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a check that differs from the grammar for one of the bytes of a name or a
// value, or for one of the statuses.
func TestEveryByteAndStatus(t *testing.T) {
	const tokenCharacters = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	require.False(t, ValidField("", "v"))
	require.True(t, ValidField("n", ""))
	for b := range 256 {
		c := string([]byte{byte(b)})
		require.Equal(t, strings.Contains(tokenCharacters, c) && b < 0x80, ValidField("X"+c+"Y", "v"), "%q in a name", c)
		require.Equal(t, b == '\t' || b >= ' ' && b != 0x7f, ValidField("n", "x"+c+"y"), "%q in a value", c)
	}
	for status := range 1000 {
		require.Equal(t, status >= 100 && status < 600, ValidStatus(status), status)
	}
}

// Guards against an error that quotes a name without end, or that has no class.
func TestErrorIsBounded(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX " + strings.Repeat("long", 1000) + ": n\r\n\r\n"
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
	require.NoError(t, err)
	err = CheckHTTP1Response(r)
	require.ErrorIs(t, err, ErrMalformed)
	require.Less(t, len(err.Error()), 300)
}

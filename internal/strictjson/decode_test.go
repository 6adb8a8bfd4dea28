package strictjson

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type inner struct {
	Count *int `json:"count"`
	Flag  bool `json:"flag,omitempty"`
}

type outer struct {
	Name  string  `json:"name"`
	Inner []inner `json:"inner,omitempty"`
	Ratio float64 `json:"ratio,omitempty"`
	Base  uint64  `json:"base,omitempty"`
}

// Guards against a decoder that stops at the first fault, accepts another
// case of a name, or points at the wrong line.
func TestDecodeReportsEveryFaultWithItsLine(t *testing.T) {
	d, err := Parse([]byte("{ // comment with \"quotes\" and { brackets\n\"Name\": 1,\n\"inner\": [{\"count\": \"x\"}, {\"flag\": null}],\n\"ratio\": true, \"base\": -1,\n\"base\": 2,}"))
	require.NoError(t, err)
	var o outer
	got := map[string]int{}
	for _, f := range d.Decode(&o) {
		got[f.Field] = d.Line(f.Field)
	}
	require.Equal(t, map[string]int{"Name": 2, "name": 1, "inner[0].count": 3, "inner[1].count": 3, "inner[1].flag": 3, "ratio": 4, "base": 4}, got)
	require.Equal(t, 3, d.Line("inner[0].other"))
}

func TestDecodeFillsAllFields(t *testing.T) {
	d, err := Parse([]byte(`{"name": "a\u0062", "inner": [{"count": 3, "flag": true}], "ratio": 0.5, "base": 18446744073709551615}`))
	require.NoError(t, err)
	var o outer
	require.Empty(t, d.Decode(&o))
	three := 3
	require.Equal(t, outer{Name: "ab", Inner: []inner{{Count: &three, Flag: true}}, Ratio: 0.5, Base: 1<<64 - 1}, o)
}

// Guards against a stack overflow in the recursive parser.
func TestParseRefusesDeepNesting(t *testing.T) {
	deep := make([]byte, 1<<20)
	for i := range deep {
		deep[i] = '['
	}
	_, err := Parse(deep)
	require.ErrorContains(t, err, "nested")
	_, err = Parse(append([]byte("// \"\n/* \" ]]] */"), deep...))
	require.ErrorContains(t, err, "nested", "comments must not hide brackets")
}

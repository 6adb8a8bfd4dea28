package replay

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a variation whose runs share a seed or change the trace of
// each other.
func TestVariationRunsEachSeedByItself(t *testing.T) {
	var out, again bytes.Buffer
	require.NoError(t, Variation(&out, "../../testdata/qureshi-e-silent-connections.jsonl", 2, 2))
	require.NoError(t, Variation(&again, "../../testdata/qureshi-e-silent-connections.jsonl", 2, 1))
	require.Equal(t, out.String(), again.String())
	for _, seed := range []uint64{0, seedStep} {
		trace, err := Load("../../testdata/qureshi-e-silent-connections.jsonl")
		require.NoError(t, err)
		trace.Head.Seed += seed
		f := replay(trace, newLayer).figures(trace)
		for line := range strings.Lines(out.String()) {
			if fields := strings.Fields(line); fields[0] == figureImportant {
				require.Equal(t, number(f[figureImportant]), fields[4+seed/seedStep])
			}
		}
	}
}

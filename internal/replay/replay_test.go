package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func traces(t *testing.T) []string {
	paths, err := filepath.Glob("../../testdata/*.jsonl")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	return paths
}

// Guards against a missed objective. The traces that miss one at present are
// in KNOWN-RED.txt; they are printed and do not fail, and a trace that meets
// its objectives must not be listed.
func TestTracesMeetTheirObjectives(t *testing.T) {
	data, err := os.ReadFile("../../KNOWN-RED.txt")
	require.NoError(t, err)
	known := string(data)
	for _, path := range traces(t) {
		name := strings.TrimSuffix(filepath.Base(path), ".jsonl")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			ok, err := Run(&out, path)
			require.NoError(t, err)
			t.Logf("\n%s", out.String())
			if strings.Contains(known, "TestTracesMeetTheirObjectives/"+name+" ") {
				require.False(t, ok, "meets its objectives now; remove it from KNOWN-RED.txt")
				t.Logf("KNOWN RED: %s", name)
				return
			}
			require.True(t, ok, "an objective is missed")
		})
	}
}

// Guards against a replay that depends on anything but the trace, such as the
// order of a map.
func TestReplayPrintsTheSameBytes(t *testing.T) {
	path := "../../testdata/qureshi-e-silent-connections.jsonl"
	var first, second bytes.Buffer
	_, err := Run(&first, path)
	require.NoError(t, err)
	_, err = Run(&second, path)
	require.NoError(t, err)
	require.Equal(t, first.String(), second.String())
}

package kind

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a kind that is declared but has no row in the table: its
// callers would be told "internal".
func TestTableCoversEveryDeclaredKind(t *testing.T) {
	source, err := os.ReadFile("kind.go")
	require.NoError(t, err)
	declared := regexp.MustCompile(`Kind\s+= "([a-z-]+)"`).FindAllStringSubmatch(string(source), -1)
	require.Len(t, Table, len(declared))
	for _, d := range declared {
		answer, ok := Table[Kind(d[1])]
		require.True(t, ok, d[1])
		require.True(t, answer.Run.Valid(), d[1])
		require.GreaterOrEqual(t, answer.Status, 400, d[1])
		require.NotEmpty(t, answer.Advice, d[1])
	}
}

func TestOfKeepsTheKindOfAWrappedError(t *testing.T) {
	err := Class.Wrap(New(Shed, "queue full"))
	require.Equal(t, Shed, Of(err).Kind)
	require.Equal(t, NotRun, Of(err).Run)
	require.Nil(t, Of(nil))
}

// Guards against a page that tells callers something else than the system does.
func TestContractPageShowsTheTable(t *testing.T) {
	page, err := os.ReadFile("../docs/call-contract.md")
	require.NoError(t, err)
	require.Contains(t, string(page), "<!-- kinds -->\n"+Markdown()+"<!-- /kinds -->")
}

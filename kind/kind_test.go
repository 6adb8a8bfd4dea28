package kind

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a declared kind without an entry in Responses, which would be
// reported to callers as internal.
func TestResponsesCoverEveryDeclaredKind(t *testing.T) {
	source, err := os.ReadFile("kind.go")
	require.NoError(t, err)
	declared := regexp.MustCompile(`Kind\s+= "([a-z-]+)"`).FindAllStringSubmatch(string(source), -1)
	require.Len(t, Responses, len(declared))
	for _, d := range declared {
		response, ok := Responses[Kind(d[1])]
		require.True(t, ok, d[1])
		require.True(t, response.Run.Valid(), d[1])
		require.GreaterOrEqual(t, response.Status, 400, d[1])
		require.NotEmpty(t, response.Advice, d[1])
	}
}

func TestOfReturnsKindOfWrappedError(t *testing.T) {
	err := Class.Wrap(New(Shed, "queue full"))
	require.Equal(t, Shed, Of(err).Kind)
	require.Equal(t, NotRun, Of(err).Run)
	require.Nil(t, Of(nil))
}

// Guards against a documentation page that differs from Responses.
func TestContractPageMatchesResponses(t *testing.T) {
	page, err := os.ReadFile("../docs/call-contract.md")
	require.NoError(t, err)
	require.Contains(t, string(page), "<!-- kinds -->\n"+Markdown()+"<!-- /kinds -->")
}

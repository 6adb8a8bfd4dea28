package nodelog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(b)
}

// Guards against requests that block on a log output that does not accept writes,
// and against dropped lines that are not counted.
func TestWriteDoesNotBlockOnBlockedOutput(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = 3 * maxBufferedLines
	for i := range lines {
		n, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.buffer.String()
	require.Contains(t, text, "line 0\n")
	require.Contains(t, text, `"log lines dropped"`)
	written := strings.Count(text, "line ")
	require.Contains(t, text, fmt.Sprintf(`"lines":%d}`, lines-written))
}

// Guards against a process that does not exit because its log output is blocked.
func TestCloseDoesNotWaitForBlockedOutput(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	fmt.Fprintln(w, "line")
	w.Close()
	_, err := fmt.Fprintln(w, "late")
	require.NoError(t, err)
	close(out.release)
}

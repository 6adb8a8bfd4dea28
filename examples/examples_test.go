package examples

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"

	"github.com/goldcrestsail/goldcrestsail/internal/configcmd"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/settings"
	"github.com/stretchr/testify/require"
)

// Guards against examples that no longer pass "config check", are rejected
// when published together, or differ from the sizes in docs/design.md.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("*/policies/*.json")
	require.NoError(t, err)
	var out, errs bytes.Buffer
	store := logstore.New(logstore.Options{})
	env := configcmd.Env{Stdout: &out, Stderr: &errs, NewClient: func(string) logservice.Client { return store }}
	require.Equal(t, configcmd.ExitOK, configcmd.Check(env, files), errs.String())
	require.Contains(t, out.String(), "schema 1")
	require.Contains(t, out.String(), "schema 2")
	const log = "http://log"
	for _, customer := range []string{"qureshi", "takstolshuset"} {
		_, err := settings.Load(customer + "/node.json")
		require.NoError(t, err)
		files, err := filepath.Glob(customer + "/policies/*.json")
		require.NoError(t, err)
		require.Equal(t, configcmd.ExitOK, configcmd.Publish(context.Background(), env, configcmd.PublishArgs{Files: files, LogURL: log}), errs.String())
	}
	out.Reset()
	require.Equal(t, configcmd.ExitOK, configcmd.Show(context.Background(), env, log, ""))
	require.Equal(t, `binwatch.qureshi: revision 1, 2 classes, 70 slots, 500 connections, retry allowance 2
paydesk.qureshi: revision 1, 3 classes, 70 slots, 500 connections, retry allowance 2
routebook.qureshi: revision 1, 2 classes, 70 slots, 500 connections, retry allowance 2
sorthouse.qureshi: revision 1, 1 classes, 10 slots, 150 connections, retry allowance 1
arkiv.takstolshuset: revision 1, 1 classes, 110 slots, 750 connections, retry allowance 2
katalog.takstolshuset: revision 1, 2 classes, 150 slots, 1000 connections, retry allowance 2
order.takstolshuset: revision 1, 2 classes, 150 slots, 1000 connections, retry allowance 2
pris.takstolshuset: revision 1, 2 classes, 45 slots, 350 connections, retry allowance 2
8 policies up to offset 8
`, out.String())
}

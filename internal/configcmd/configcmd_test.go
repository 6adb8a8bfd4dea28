package configcmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/stretchr/testify/require"
)

const paydesk1 = `{ // new service
  "schema": 1, "customer": "qureshi", "service": "paydesk", "base": 0, "op": "put", "author": "aisha",
  "policy": {
    "classes": [{"name": "payout", "importance": 0, "match": [{"methods": ["POST"], "path": "/payouts"}], "non_idempotent": true, "timeout_ms": 2000}],
    "slots": 70, "connections": 500, "retry_allowance": 2,
  },
}`

const logURL = "http://log"

// run runs a command against the store and returns its exit code and output.
func run(store *logstore.Store, f func(Env) int) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = f(Env{Stdout: &out, Stderr: &errs, NewClient: func(string) logservice.Client { return store }})
	return code, out.String(), errs.String()
}

func publish(store *logstore.Store, files ...string) (int, string, string) {
	return run(store, func(e Env) int {
		return Publish(context.Background(), e, PublishArgs{Files: files, LogURL: logURL})
	})
}

func write(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a check that stops at the first fault or the first file.
func TestCheckReportsAllFaultsOfAllFiles(t *testing.T) {
	good := write(t, "good.json", paydesk1)
	typed := write(t, "typed.json", strings.NewReplacer(`"slots": 70`, `"slots": "70", "min_limit": 3`, `"importance": 0, `, ``, `"connections": 500`, `"connections": 0`).Replace(paydesk1))
	valued := write(t, "valued.json", strings.NewReplacer(`"slots": 70`, `"slots": 0`, `/payouts"`, `payouts"`, `"base": 0`, `"base": 9`, `"op": "put"`, `"op": "set"`).Replace(paydesk1))
	code, out, errs := run(nil, func(e Env) int { return Check(e, []string{good, typed, valued, good, "none.json"}) })
	require.Equal(t, ExitFailure, code)
	require.Equal(t, good+": ok: schema 1, put of paydesk.qureshi from revision 0\n", out)
	for _, want := range []string{
		typed + `:5: policy.slots: "70" is not allowed, want an integer`,
		typed + `:4: policy.classes[0].importance`,
		typed + `:5: policy.min_limit: "(present)" is not allowed, want no such field in schema 1`,
		typed + `:5: policy.connections: "0" is not allowed, want an integer from 1`,
		valued + `:5: policy.slots: "0"`,
		valued + `:4: policy.classes[0].match[0].path`,
		valued + `:2: op: "set"`,
		good + `: changes revision 0 of paydesk.qureshi, as does ` + good,
		"none.json: ",
	} {
		require.Contains(t, errs, want)
	}
	require.NotContains(t, errs, typed+`:5: policy.min_limit: "3" is not allowed, want an integer from 1 to 1`, "without slots the limit cannot be judged")
}

func TestWrongUsage(t *testing.T) {
	ctx := context.Background()
	file := write(t, "a.json", paydesk1)
	for name, f := range map[string]func(Env) int{
		"check without files":   func(e Env) int { return Check(e, nil) },
		"publish without files": func(e Env) int { return Publish(ctx, e, PublishArgs{LogURL: logURL}) },
		"no log":                func(e Env) int { return Publish(ctx, e, PublishArgs{Files: []string{file}}) },
		"no URL":                func(e Env) int { return History(ctx, e, "10.0.0.1:80") },
		"two files, one ID": func(e Env) int {
			return Publish(ctx, e, PublishArgs{Files: []string{file, file}, LogURL: logURL, ID: "x"})
		},
		"wrong ID":      func(e Env) int { return Publish(ctx, e, PublishArgs{Files: []string{file}, LogURL: logURL, ID: "x"}) },
		"wrong service": func(e Env) int { return Show(ctx, e, logURL, "paydesk") },
	} {
		code, out, errs := run(logstore.New(logstore.Options{}), f)
		require.Equal(t, ExitUsage, code, name)
		require.Empty(t, out, name)
		require.NotEmpty(t, errs, name)
	}
}

// Guards against a change that counts twice, or is reported as failed,
// although only the answer was lost or the log service was down for a while.
func TestPublishAcrossLostAnswersAndAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Options{})
		file := write(t, "a.json", paydesk1)
		store.LoseResponses(1)
		code, out, errs := publish(store, file)
		require.Equal(t, ExitOK, code, errs)
		require.Contains(t, out, "accepted: paydesk.qureshi is at revision 1 (offset 0")
		require.EqualValues(t, 1, store.Counters()[configlog.Stream].Records)

		store.SetOutage(true)
		time.AfterFunc(20*time.Second, func() { store.SetOutage(false) })
		code, out, _ = publish(store, file)
		require.Equal(t, ExitOK, code)
		require.Contains(t, out, "accepted: paydesk.qureshi is at revision 1 (offset 0", "the first record counts")

		store.SetOutage(true)
		code, _, errs = publish(store, file, write(t, "b.json", strings.Replace(paydesk1, "paydesk", "routebook", 1)))
		require.Equal(t, ExitFailure, code)
		require.Contains(t, errs, "outcome unknown: log-unavailable")
		require.Contains(t, errs, "b.json: not published")
	})
}

// Guards against a rejected change that is reported as published.
func TestPublishShowAndHistory(t *testing.T) {
	store, ctx := logstore.New(logstore.Options{}), context.Background()
	file := write(t, "a.json", paydesk1)
	conflict := write(t, "b.json", strings.Replace(paydesk1, `"slots": 70`, `"slots": 71`, 1))
	code, _, errs := publish(store, file, file)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errs, "nothing was published")
	code, _, _ = publish(store, file)
	require.Equal(t, ExitOK, code)
	code, _, errs = publish(store, conflict)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errs, "stale-base at offset 1, base is revision 0, current is revision 1")

	code, shown, _ := run(store, func(e Env) int { return Show(ctx, e, logURL, "paydesk.qureshi") })
	require.Equal(t, ExitOK, code)
	edited := write(t, "c.json", strings.Replace(shown, `"slots": 70`, `"slots": 72`, 1))
	code, out, errs := publish(store, edited)
	require.Equal(t, ExitOK, code, errs)
	require.Contains(t, out, "revision 2")
	code, _, _ = run(store, func(e Env) int { return Show(ctx, e, logURL, "order.takst") })
	require.Equal(t, ExitFailure, code)
	_, out, _ = run(store, func(e Env) int { return Show(ctx, e, logURL, "") })
	require.Equal(t, "paydesk.qureshi: revision 2, 1 classes, 72 slots, 500 connections, retry allowance 2\n1 policies up to offset 3\n", out)
	_, out, _ = run(store, func(e Env) int { return History(ctx, e, logURL) })
	require.Regexp(t, `(?s)accepted as revision 1 +aisha.*rejected: stale-base +aisha.*schema 2 put from revision 1 +accepted as revision 2 +-`, out)
}

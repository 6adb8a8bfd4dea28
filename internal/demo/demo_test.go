package demo

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/replay"
)

// Guards against duplicate effects, incomplete answers and requests that ran
// although they were reported as not run, under overload on real sockets.
func TestRunKeepsInvariants(t *testing.T) {
	if testing.Short() {
		t.Skip("takes two runs of the shortest duration")
	}
	trace := filepath.Join(t.TempDir(), "run.jsonl")
	report, err := Run(context.Background(), Options{Deployment: "qureshi", Duration: minDuration, Seed: 1, Record: trace})
	require.NoError(t, err)
	require.NotNil(t, report.Naive)
	c := report.Controlled
	require.Zero(t, c.DuplicateEffects)
	require.Zero(t, c.IncompleteAnswers)
	require.Zero(t, c.FalseNotRun)
	require.LessOrEqual(t, c.MaxRetriesPerRequest, retryAllowance)
	require.Len(t, c.Classes, len(deployments["qureshi"].classes))

	recorded, err := replay.Load(trace)
	require.NoError(t, err)
	require.NotEmpty(t, recorded.Events)
}

func TestInvalidOptionsNameTheField(t *testing.T) {
	_, err := Run(context.Background(), Options{Deployment: "other", Duration: DefaultDuration})
	require.ErrorContains(t, err, "qureshi or takstolshuset")
	_, err = Run(context.Background(), Options{Deployment: "qureshi"})
	require.ErrorContains(t, err, "duration")
}

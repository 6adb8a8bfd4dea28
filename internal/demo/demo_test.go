package demo

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTrial(t *testing.T) {
	r, err := Run(context.Background(), Options{Deployment: "qureshi", Duration: 12 * time.Second, Seed: 1, Progress: func(s string) { t.Log(s) }})
	require.NoError(t, err)
	b, _ := json.MarshalIndent(r, "", " ")
	t.Log(string(b))
}

package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

const validSettings = `{ // a node
  "addresses": {
    "caller": "0.0.0.0:7000", "target_side": "127.0.0.1:7001",
    "peer": "10.0.0.1:7002",
    "gossip": "10.0.0.1:7002", "admin": "127.0.0.1:7004",
  },
  "region": "punjab", "failure_domain": "lahore",
  "log_url": "http://10.0.0.9:8090",
  "seeds": ["10.0.0.1:7002", "[fd00::1]:7002"],
  "target": {"customer": "qureshi", "service": "paydesk", "address": "127.0.0.1:9000", "slots": 70},
  "log_level": "debug",
}`

func TestParseValidSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:7002", s.Addresses.Peer.String())
	require.Equal(t, "[fd00::1]:7002", s.Seeds[1].String())
	require.Equal(t, "paydesk.qureshi", s.Target.Name.String())
	require.Equal(t, 70, s.Target.Slots)
	require.Equal(t, hclog.Debug, s.LogLevel)
	require.Equal(t, 24*time.Hour, s.LogRetention)
}

// Guards against validation that stops at the first fault, and against a field
// or line that is missing or wrong.
func TestLoadReportsAllFaultsWithFieldAndLine(t *testing.T) {
	invalid := strings.NewReplacer(
		`0.0.0.0:7000`, `localhost:7000`, `"target_side": "127.0.0.1:7001"`, `"target_side": "10.0.0.1:7001"`,
		`"peer": "10.0.0.1:7002"`, `"peer": "0.0.0.0:7004"`, `"gossip": "10.0.0.1:7002", `, ``,
		`"punjab"`, `7`, `"lahore"`, `"La hore"`, `http://10.0.0.9:8090`, `10.0.0.9:8090`,
		`"[fd00::1]:7002"`, `"10.0.0.1:0"`, `"slots": 70`, `"slots": 0, "command": "x"`, `debug`, `loud`).Replace(validSettings)
	path := filepath.Join(t.TempDir(), "node.json")
	require.NoError(t, os.WriteFile(path, []byte(invalid), 0o600))
	_, err := Load(path)
	e := kind.Of(err)
	require.Equal(t, kind.SettingsInvalid, e.Kind)
	require.Equal(t, path, e.Detail)
	got := []string{}
	for _, f := range e.Fields {
		got = append(got, f.Field)
	}
	require.ElementsMatch(t, []string{
		"addresses.caller (line 3)", "addresses.target_side (line 3)", "addresses.peer (line 4)", "addresses.gossip (line 2)", "addresses.admin (line 5)",
		"region (line 7)", "failure_domain (line 7)", "log_url (line 8)", "seeds[1] (line 9)",
		"target.slots (line 10)", "target.command (line 10)", "log_level (line 11)",
	}, got)
	_, err = Load(path + "x")
	require.Equal(t, kind.SettingsInvalid, kind.Of(err).Kind)
}

// FuzzParse guards against panics, errors of another kind, and accepted
// settings that a node could not use.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(strings.Replace(validSettings, "7004", "0", 1)))
	f.Add([]byte(`{"target":{},"log_retention_ms":-1,"seeds":[""]}`))
	f.Add([]byte(`{"addresses":[]}`))
	f.Add([]byte(`// "`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			require.Equal(t, kind.SettingsInvalid, kind.Of(err).Kind)
			return
		}
		require.True(t, s.Addresses.Peer.IsValid() && s.Addresses.Gossip.IsValid() && s.Addresses.TargetSide.Addr().IsLoopback())
		require.NotEmpty(t, s.Region)
		require.Positive(t, s.LogRetention)
	})
}

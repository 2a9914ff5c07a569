package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/shoenig/test/must"
)

func validSettings(t *testing.T) *Settings {
	t.Helper()
	cfg := &Settings{}
	_, err := flags.NewParser(cfg, flags.None).ParseArgs([]string{
		"--peer-key", "0123456789abcdef", "--operator", "kim=" + strings.Repeat("ab", 32),
	})
	must.NoError(t, err)
	return cfg
}

func TestErrorNamesInvalidSetting(t *testing.T) {
	for _, row := range []struct {
		flag       string
		invalidate func(s *Settings)
	}{
		{"--callers", func(s *Settings) { s.CallersListen = "8080" }},
		{"--peers", func(s *Settings) { s.PeersListen = "" }},
		{"--peer-address", func(s *Settings) { s.PeerAddress = "x" }},
		{"--object-api", func(s *Settings) { s.ObjectAPI = "127.0.0.1:9000" }},
		{"--weight-store", func(s *Settings) { s.WeightStore = "x" }},
		{"--host", func(s *Settings) { s.Host = "" }},
		{"--peer-key", func(s *Settings) { s.PeerKey = "short" }},
		{"--operator", func(s *Settings) { s.OperatorKeys = nil }},
		{"--operator", func(s *Settings) { s.OperatorKeys = []string{"kim=zz"} }},
		{"--log-level", func(s *Settings) { s.LogLevel = "loud" }},
		{"--preset", func(s *Settings) { s.Loads.Preset = "fast" }},
		{"--max-streams", func(s *Settings) { s.Limits.MaxStreams = 0 }},
		{"--max-queue", func(s *Settings) { s.Limits.MaxQueue = -1 }},
		{"--max-body-bytes", func(s *Settings) { s.Limits.MaxBodyBytes = 0 }},
		{"--max-header-bytes", func(s *Settings) { s.Limits.MaxHeaderBytes = 0 }},
		{"--max-wait", func(s *Settings) { s.Limits.MaxWait = 0 }},
		{"--retry-budget", func(s *Settings) { s.Limits.RetryBudget = 2 }},
		{"--lease-life", func(s *Settings) { s.Timing.LeaseLife = time.Second }},
		{"--silence-timeout", func(s *Settings) { s.Timing.SilenceTimeout = -1 }},
		{"--drain-notice", func(s *Settings) { s.Timing.DrainNotice = time.Hour }},
		{"--load-rate", func(s *Settings) { s.Loads.Rate = 0 }},
		{"--load-parallel", func(s *Settings) { s.Loads.Parallel = 0 }},
		{"--load-shares", func(s *Settings) { s.Loads.Shares = 0 }},
	} {
		t.Run(row.flag, func(t *testing.T) {
			cfg := validSettings(t)
			must.NoError(t, cfg.Check())
			row.invalidate(cfg)
			err := cfg.Check()
			must.Error(t, err)
			must.StrContains(t, err.Error(), row.flag)
		})
	}
}

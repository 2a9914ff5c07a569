package experiment

import (
	"testing"

	"github.com/shoenig/test/must"
)

func versionScenario(t *testing.T, seed uint64, anyVersion bool) *Result {
	t.Helper()
	r := runScenario(t, "calm", Product, func(cfg *Config) {
		cfg.Seed = seed
		for i, at := range []float64{4, 10, 16} {
			cfg.Versions = append(cfg.Versions, VersionConfig{AtS: at, Share: []float64{0.4, 0.3, 0.5}[i], LeaveShare: 0.5, AnyVersion: anyVersion})
		}
	})
	t.Logf("%+v", r.Versions)
	return r
}

// Engines are replaced by ones of other software versions, and callers continue their streams at
// other hosts, whose lists are up to a second old: none goes on at another version.
func TestNoStreamOfTwoVersionsInTheModel(t *testing.T) {
	for seed := range uint64(8) {
		r := versionScenario(t, seed+1, false)
		must.Positive(t, r.Versions.WentOn)
		must.Eq(t, 0, r.Versions.Mixed)
		must.GreaterEq(t, 0.95, float64(r.Versions.WentOn)/float64(r.Versions.TakenUp))
	}
}

// The model shows the fault where hosts continue streams at any version.
func TestModelShowsStreamsOfTwoVersions(t *testing.T) {
	must.Greater(t, 10, versionScenario(t, 1, true).Versions.Mixed)
}

package experiment

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

const silenceSeeds = 3

// runSilence runs a scenario of stalls with some seeds and adds the results up.
func runSilence(t *testing.T, scenario string, policy SilencePolicy) *silenceRow {
	t.Helper()
	var results []*Result
	for seed := range uint64(silenceSeeds) {
		results = append(results, runScenario(t, scenario, Product, func(cfg *Config) { cfg.Seed, cfg.Silence = seed+1, policy }))
	}
	rows := silenceRows(results)
	must.SliceLen(t, 1, rows)
	t.Logf("%+v", rows[0].SilenceResult)
	return rows[0]
}

// Runners or hosts stand still for up to 2.5 s and go on. A host that makes a second attempt beside
// the silent one ends no stream, and no caller leaves one.
func TestSecondAttemptBesideCutsNoStream(t *testing.T) {
	for _, scenario := range []string{"stall-one", "stall-all", "stall-hosts", "stall-pauses"} {
		got := runSilence(t, scenario, SilenceBeside)
		must.Eq(t, 0, got.Cut())
		must.Eq(t, 0, got.Left)
	}
}

// The model shows the fault: a host that cancels a silent attempt before it looks for another runner
// ends streams that would have gone on, since no retry, no runner or no time is left.
func TestModelShowsStreamsCutForSilence(t *testing.T) {
	for _, scenario := range []string{"stall-one", "stall-all", "stall-hosts", "stall-pauses"} {
		must.Greater(t, 40, runSilence(t, scenario, SilenceCancel).Cut())
	}
}

// A host that stood still has no runner to suspect: no second attempt is made.
func TestStandstillOfHostMakesNoSecondAttempt(t *testing.T) {
	got := runSilence(t, "stall-hosts", SilenceBeside)
	must.Eq(t, 0, got.Runs)
	must.Positive(t, got.NotHeard)
}

// All runners are silent at once: nearly no second attempt is made, and no more requests wait for
// their first event than with none.
func TestSecondAttemptsBesideSilentFleetAreBounded(t *testing.T) {
	listen, beside := runSilence(t, "stall-all", SilenceListen), runSilence(t, "stall-all", SilenceBeside)
	must.LessEq(t, beside.asked/20, beside.Runs)
	must.LessEq(t, listen.LateFirst+listen.asked/100, beside.LateFirst)
}

// Runners end without a word. With second attempts more streams are whole than with the canceling of
// silent ones, and far more than with listening or with waiting for the runner's entry to go.
func TestDarkRunnerIsReplaced(t *testing.T) {
	for _, scenario := range []string{"stall-dark", "stall-dark-quiet"} {
		beside := runSilence(t, scenario, SilenceBeside)
		must.Greater(t, runSilence(t, scenario, SilenceCancel).Whole, beside.Whole)
		for _, policy := range []SilencePolicy{SilenceListen, SilenceEvidence} {
			lost := beside.asked - runSilence(t, scenario, policy).Whole
			must.Less(t, lost/2, beside.asked-beside.Whole)
		}
	}
}

// All first events are late: second attempts win nothing, take no more than the retry budget gives,
// and delay no other request.
func TestSecondAttemptsAtSlowRunnersAreBounded(t *testing.T) {
	listen, beside := runSilence(t, "stall-first", SilenceListen), runSilence(t, "stall-first", SilenceBeside)
	must.Eq(t, beside.asked, beside.Whole)
	must.LessEq(t, beside.asked/5, beside.Runs)
	must.LessEq(t, listen.LateFirst+listen.asked/100, beside.LateFirst)
}

// Guards against a run with stalls that cannot be repeated.
func TestStallsAreReproducible(t *testing.T) {
	run := func() *Result { return runScenario(t, "stall-pauses", Product, nil) }
	must.Eq(t, run(), run())
}

func TestSilenceTableAddsSeedsUp(t *testing.T) {
	first := runScenario(t, "stall-one", Product, func(cfg *Config) { cfg.LengthS = 4 })
	second := runScenario(t, "stall-one", Product, func(cfg *Config) { cfg.LengthS, cfg.Seed = 4, 2 })
	rows := silenceRows([]*Result{first, second})
	must.SliceLen(t, 1, rows)
	must.Eq(t, first.Whole.Asked+second.Whole.Asked, rows[0].asked)
	must.Eq(t, first.Silence.Whole+second.Silence.Whole, rows[0].Whole)
	var table bytes.Buffer
	must.NoError(t, WriteSilences(&table, []*Result{first, second}))
	must.StrContains(t, table.String(), "stall-one")
}

func TestStallConfigErrors(t *testing.T) {
	good, err := scenarios.ReadFile("scenarios/stall-one.toml")
	must.NoError(t, err)
	for _, test := range []struct{ name, old, new, want string }{
		{"an unknown kind", `what = "busiest-runner"`, `what = "moon"`, "moon"},
		{"no length", "for_s = 2.5", "for_s = 0", "for_s"},
		{"a series without a period", "every_s = 5", "every_s = 0", "every_s"},
		{"an unknown policy", `silence = "beside"`, `silence = "golden"`, "golden"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse(string(bytes.Replace(good, []byte(test.old), []byte(test.new), 1)))
			must.ErrorContains(t, err, test.want)
		})
	}
}

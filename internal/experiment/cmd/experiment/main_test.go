package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a drill that is only printed: the results of both runs are written as JSON and as
// a plot, beside those of the scenario's other runs.
func TestDrillIsWritten(t *testing.T) {
	folder, share := t.TempDir(), 0.5
	text, err := os.ReadFile("../../scenarios/calm.toml")
	must.NoError(t, err)
	file := filepath.Join(folder, "small.toml")
	must.NoError(t, os.WriteFile(file, bytes.Replace(text, []byte("length_s = 16"), []byte("length_s = 3"), 1), 0o600))
	must.NoError(t, run(options{File: file, Out: folder, LoseRunners: &share}))
	written, err := os.ReadFile(filepath.Join(folder, "calm-drill.json"))
	must.NoError(t, err)
	must.StrContains(t, string(written), `"lost_runners": 0.5`)
	must.FileExists(t, filepath.Join(folder, "calm-drill.png"))
}

// Guards against a wrong share that is run as if no drill were asked for.
func TestWrongShareIsRefused(t *testing.T) {
	for _, share := range []float64{0, 1, 1.5, -1} {
		must.ErrorContains(t, run(options{Scenario: "calm", LoseRunners: &share}), "--lose-runners")
	}
}

// Guards against policies for silence that are run and not written.
func TestSilencesAreWritten(t *testing.T) {
	folder := t.TempDir()
	text, err := os.ReadFile("../../scenarios/stall-one.toml")
	must.NoError(t, err)
	file := filepath.Join(folder, "small.toml")
	must.NoError(t, os.WriteFile(file, bytes.Replace(text, []byte("length_s = 24"), []byte("length_s = 5"), 1), 0o600))
	must.NoError(t, run(options{File: file, Out: folder, Silences: []string{"cancel", "beside"}}))
	written, err := os.ReadFile(filepath.Join(folder, "stall-one.json"))
	must.NoError(t, err)
	must.StrContains(t, string(written), `"policy": "cancel"`)
	must.StrContains(t, string(written), `"policy": "beside"`)
	must.FileExists(t, filepath.Join(folder, "stall-one.png"))
	must.ErrorContains(t, run(options{File: file, Silences: []string{"golden"}}), "golden")
}

// Command experiment simulates a load on a model of a deployment and reports the
// outcome for callers, by policy and seed.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cherrystage/cherrystage/internal/experiment"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

type options struct {
	Scenario string   `long:"scenario" short:"s" description:"an embedded scenario; see --list"`
	File     string   `long:"config" short:"c" description:"a configuration file"`
	Policies []string `long:"policy" short:"p" description:"product, homeless or reference; may be repeated (default: all)"`
	Silences []string `long:"silence" description:"listen, cancel, beside or evidence: what hosts do about streams whose runners are silent; may be repeated (default for scenarios of stalls: all, with the policy product)"`
	Seeds    int      `long:"seeds" short:"n" default:"1" description:"number of seeds to run, starting from the configured one"`
	Out      string   `long:"out" short:"o" description:"a folder for each scenario's results and plot"`
	// LoseRunners is nil without the flag; a share of 0 is an error.
	LoseRunners *float64 `long:"lose-runners" value-name:"SHARE" description:"play each seed twice, with all runners and with this share of them lost for the second third, and show what each class of requests gets (policy: product by default)"`
	List        bool     `long:"list" description:"list the embedded scenarios"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	if opts.List {
		for _, name := range experiment.Scenarios() {
			fmt.Println(name)
		}
		return nil
	}
	cfg, err := loadConfig(opts)
	if err != nil {
		return err
	}
	policies, err := parsePolicies(opts.Policies)
	if err != nil {
		return err
	}
	if opts.LoseRunners != nil {
		if len(opts.Policies) == 0 {
			policies = []experiment.Policy{experiment.Product}
		}
		return runDrills(opts, cfg, policies)
	}
	silences, err := parseSilences(opts.Silences, cfg)
	if err != nil {
		return err
	}
	if cfg.Silence != "" && len(opts.Policies) == 0 {
		policies = []experiment.Policy{experiment.Product}
	}
	var results []*experiment.Result
	for i := range max(1, opts.Seeds) {
		seeded := cfg
		seeded.Seed += uint64(i)
		for _, policy := range policies {
			for _, seeded.Silence = range silences {
				result, err := experiment.Run(seeded, policy)
				if err != nil {
					return err
				}
				results = append(results, result)
			}
		}
	}
	if err := experiment.Write(os.Stdout, results); err != nil {
		return err
	}
	if silences[0] != "" {
		if err := experiment.WriteSilences(os.Stdout, results); err != nil {
			return err
		}
	}
	if opts.Out == "" {
		return nil
	}
	return save(opts.Out, cfg.Name, results, results)
}

// drillSuffix distinguishes the files of a drill from those of the scenario's other runs.
const drillSuffix = "-drill"

func runDrills(opts options, cfg experiment.Config, policies []experiment.Policy) error {
	var drills []*experiment.Drill
	var results []*experiment.Result
	for i := range max(1, opts.Seeds) {
		seeded := cfg
		seeded.Seed += uint64(i)
		for _, policy := range policies {
			drill, err := experiment.RunDrill(seeded, policy, *opts.LoseRunners)
			if err != nil {
				return errors.Wrap(err, "--lose-runners")
			}
			drills = append(drills, drill)
			results = append(results, drill.All, drill.Lost)
		}
	}
	if err := experiment.WriteDrills(os.Stdout, drills); err != nil {
		return err
	}
	if opts.Out == "" {
		return nil
	}
	return save(opts.Out, cfg.Name+drillSuffix, drills, results)
}

func loadConfig(opts options) (experiment.Config, error) {
	switch {
	case opts.Scenario != "" && opts.File != "":
		return experiment.Config{}, errors.New("--scenario and --config are mutually exclusive")
	case opts.File != "":
		return experiment.Read(opts.File)
	case opts.Scenario != "":
		return experiment.Scenario(opts.Scenario)
	default:
		return experiment.Config{}, errors.New("one of --scenario, --config and --list is required")
	}
}

func parsePolicies(names []string) ([]experiment.Policy, error) {
	if len(names) == 0 {
		return experiment.Policies(), nil
	}
	var policies []experiment.Policy
	for _, name := range names {
		known := false
		for _, policy := range experiment.Policies() {
			if name == string(policy) {
				policies = append(policies, policy)
				known = true
			}
		}
		if !known {
			return nil, errors.Errorf("unknown policy %q; available: %v", name, experiment.Policies())
		}
	}
	return policies, nil
}

// parseSilences returns the policies for silence to run: the named ones, all if the scenario has
// one, and else none.
func parseSilences(names []string, cfg experiment.Config) ([]experiment.SilencePolicy, error) {
	if len(names) == 0 && cfg.Silence == "" {
		return []experiment.SilencePolicy{""}, nil
	}
	if len(names) == 0 {
		return experiment.SilencePolicies(), nil
	}
	var silences []experiment.SilencePolicy
	for _, name := range names {
		if !slices.Contains(experiment.SilencePolicies(), experiment.SilencePolicy(name)) {
			return nil, errors.Errorf("unknown policy for silence %q; available: %v", name, experiment.SilencePolicies())
		}
		silences = append(silences, experiment.SilencePolicy(name))
	}
	return silences, nil
}

// save writes a value as JSON and a plot of results.
func save(folder, name string, value any, results []*experiment.Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, name+".json"), append(encoded, '\n'), 0o644); err != nil {
		return err
	}
	return experiment.Plot(filepath.Join(folder, name+".png"), results)
}

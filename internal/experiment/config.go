// Package experiment simulates a load on a model of a deployment in virtual time.
//
// The product's own code makes the decisions: the search for a runner, the owners'
// admission and loads, the retry budget and the suspicion of runners. The engines with
// their batches, the weight store that divides its rate among loads, the callers with
// their single retry, and the network latency are modelled. A run has one seed and is
// exactly reproducible. It shows how a change to a decision performs under a load,
// compared with the same decisions without homes that know replicas, and with a
// reference that has full knowledge at any time. An adapter's home is the runner that ranks
// first for it; the home's owner is told which other runners hold the adapter.
package experiment

import (
	"embed"
	"io/fs"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Config describes a deployment, its load and its faults. Times are in seconds unless
// the name has another unit.
type Config struct {
	Name    string  `toml:"name"`
	Seed    uint64  `toml:"seed"`
	LengthS float64 `toml:"length_s"`
	// Hosts and engines are assigned to the data centres in turn.
	Hosts       int `toml:"hosts"`
	DataCentres int `toml:"data_centres"`
	// LocalMS and FarMS are the one-way latencies between hosts, within a data centre and
	// between two.
	LocalMS float64       `toml:"local_ms"`
	FarMS   float64       `toml:"far_ms"`
	Engines EngineConfig  `toml:"engines"`
	Store   StoreConfig   `toml:"weight_store"`
	Demand  DemandConfig  `toml:"demand"`
	Kinds   []KindConfig  `toml:"kinds"`
	Bursts  []BurstConfig `toml:"bursts"`
	// Shifts move the demand to other adapters. Surges make one adapter popular for a time.
	Shifts []ShiftConfig `toml:"shifts"`
	Surges []SurgeConfig `toml:"surges"`
	// Workspaces are the tenants that send the requests. Without any, requests have none.
	Workspaces []WorkspaceConfig `toml:"workspaces"`
	// Crashes remove runners, Silences make them unresponsive for a time, and Losses stop
	// all hosts simultaneously.
	Crashes  []FaultConfig `toml:"crashes"`
	Silences []FaultConfig `toml:"silences"`
	Losses   []FaultConfig `toml:"losses"`
	// Cuts cut hosts off from all runners.
	Cuts []CutConfig `toml:"cuts"`
	// Stalls have runners or hosts stand still and go on. Silence is what hosts do about streams whose
	// runners are silent; without it, streams are not resumed.
	Stalls  []StallConfig `toml:"stalls"`
	Silence SilencePolicy `toml:"silence"`
	// BadParts send requests with a part of a prompt that ends engines.
	BadParts []BadPartConfig `toml:"bad_parts"`
	// Versions replace engines by ones of other software versions.
	Versions []VersionConfig `toml:"versions"`
	Retries  RetryConfig     `toml:"retries"`
	// Contended turns on the scheduling under contention, see docs/design/contention.md.
	Contended bool `toml:"contended"`
}

// EngineConfig describes the runners.
type EngineConfig struct {
	Count int `toml:"count"`
	// Slots is the number of requests in a batch, Queue the number that may wait for one,
	// and Places the number of adapters that an engine can hold.
	Slots  int `toml:"slots"`
	Queue  int `toml:"queue"`
	Places int `toml:"places"`
	// A step takes StepMS, plus SlotMS for each request in the batch and ContextMS for each
	// thousand tokens in memory. It prefills up to Chunk prompt tokens, at ReadPerMS tokens
	// per millisecond.
	StepMS    float64 `toml:"step_ms"`
	SlotMS    float64 `toml:"slot_ms"`
	ContextMS float64 `toml:"context_ms"`
	Chunk     int     `toml:"chunk"`
	ReadPerMS float64 `toml:"read_per_ms"`
	// Stride is the number of tokens per event. Remembered is the number of adapters that an
	// engine has cached; these load ten times as fast.
	Stride     int `toml:"stride"`
	Remembered int `toml:"remembered"`
	// SpeedSpread is the ratio of the highest to the lowest speed of engines; 0 and 1 mean that
	// all are alike. StepMS, SlotMS, ContextMS and ReadPerMS are those of an engine of middle
	// speed.
	SpeedSpread float64        `toml:"speed_spread"`
	Slowdowns   SlowdownConfig `toml:"slowdowns"`
}

// SlowdownConfig describes how single engines slow down for a moment. An engine announces its
// work time with each event.
type SlowdownConfig struct {
	// EveryS is the mean time between two slowdowns of an engine, 0 for none.
	EveryS float64 `toml:"every_s"`
	// ForMS is the length of a slowdown.
	ForMS float64 `toml:"for_ms"`
	// Factor is the greatest factor by which work takes longer.
	Factor float64 `toml:"factor"`
}

// uneven reports whether engines differ in speed, lastingly or for a moment.
func (c EngineConfig) uneven() bool { return c.SpeedSpread > 1 || c.Slowdowns.EveryS > 0 }

// StoreConfig describes the weight store.
type StoreConfig struct {
	// LoadMS is the time of a load at full speed.
	LoadMS float64 `toml:"load_ms"`
	// Full is the number of concurrent loads that are served at full speed.
	Full int `toml:"full"`
	// LoadsPerS is the store's rate for base models, which hosts are told.
	LoadsPerS float64 `toml:"loads_per_s"`
}

// DemandConfig describes which adapters are requested.
type DemandConfig struct {
	Adapters int `toml:"adapters"`
	// Zipf is the exponent of the distribution of requests over adapters.
	Zipf float64 `toml:"zipf"`
	// Named is the share of requests that name an adapter.
	Named float64 `toml:"named"`
	// Swing is the share by which the rate of requests rises and falls around its mean, as a sine
	// with a period of SwingS.
	Swing  float64 `toml:"swing"`
	SwingS float64 `toml:"swing_s"`
}

// WorkspaceConfig describes a workspace.
type WorkspaceConfig struct {
	Name string `toml:"name"`
	// Weight is the workspace's part of the requests, relative to the others' weights.
	Weight float64 `toml:"weight"`
	// Priority goes before the priority of the route; lower values are served first. A workspace
	// without one has that of the route.
	Priority *int `toml:"priority"`
}

// KindConfig describes a kind of request.
type KindConfig struct {
	Name string `toml:"name"`
	// Priority is that of the route; lower values are served first.
	Priority int `toml:"priority"`
	// PerS is the number of requests per second.
	PerS float64 `toml:"per_s"`
	// Prompt is the mean number of prompt tokens, Spread the standard deviation of its
	// logarithm, and MostRead its maximum, if above zero.
	Prompt   float64 `toml:"prompt"`
	Spread   float64 `toml:"spread"`
	MostRead int     `toml:"most_read"`
	// Events is the mean number of events of an answer.
	Events float64 `toml:"events"`
	// An answer is in time if its first event arrives within TargetMS and no two events are
	// further apart than GapMS, 0 for no limit.
	TargetMS  float64 `toml:"target_ms"`
	GapMS     float64 `toml:"gap_ms"`
	DeadlineS float64 `toml:"deadline_s"`
	// Worth is the value of an answer in time, Late that of a late one.
	Worth float64 `toml:"worth"`
	Late  float64 `toml:"late"`
}

// BurstConfig multiplies the load of one kind, or of all, for a time.
type BurstConfig struct {
	AtS    float64 `toml:"at_s"`
	ForS   float64 `toml:"for_s"`
	Factor float64 `toml:"factor"`
	Kind   string  `toml:"kind"`
}

// ShiftConfig exchanges the Count most popular adapters with random others.
type ShiftConfig struct {
	AtS   float64 `toml:"at_s"`
	Count int     `toml:"count"`
}

// SurgeConfig makes one randomly chosen adapter popular.
type SurgeConfig struct {
	AtS  float64 `toml:"at_s"`
	ForS float64 `toml:"for_s"`
	// Share is the share of the requests for adapters that name the adapter, reached evenly
	// within RiseS.
	Share float64 `toml:"share"`
	RiseS float64 `toml:"rise_s"`
}

// FaultConfig describes a fault of a share of the runners, or of all hosts.
type FaultConfig struct {
	AtS   float64 `toml:"at_s"`
	ForS  float64 `toml:"for_s"`
	Share float64 `toml:"share"`
}

// RetryConfig configures the retry budget: in each window, Ratio times the requests plus
// Slack retries.
type RetryConfig struct {
	Ratio   float64 `toml:"ratio"`
	Slack   float64 `toml:"slack"`
	WindowS float64 `toml:"window_s"`
}

//go:embed scenarios/*.toml
var scenarios embed.FS

// Scenario reads one of the embedded scenarios.
func Scenario(name string) (Config, error) {
	text, err := scenarios.ReadFile("scenarios/" + name + ".toml")
	if errors.Is(err, fs.ErrNotExist) {
		return Config{}, errors.Errorf("unknown scenario %q; available: %s", name, strings.Join(Scenarios(), ", "))
	}
	if err != nil {
		return Config{}, err
	}
	return Parse(string(text))
}

// Scenarios returns the names of the embedded scenarios.
func Scenarios() []string {
	entries, err := scenarios.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".toml"))
	}
	return names
}

// Read reads and checks a configuration file.
func Read(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	cfg, err := Parse(string(text))
	return cfg, errors.Wrap(err, path)
}

// Parse parses and checks a configuration. Unknown fields are errors, unlike in the
// platform's settings, because this format belongs to the project.
func Parse(text string) (Config, error) {
	var cfg Config
	meta, err := toml.Decode(text, &cfg)
	if err != nil {
		return Config{}, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Config{}, errors.Errorf("unknown field %s", unknown[0])
	}
	return cfg, cfg.Check()
}

// Check returns an error if a configuration is invalid.
func (c Config) Check() error {
	for _, number := range []struct {
		name  string
		value float64
	}{
		{"length_s", c.LengthS},
		{"hosts", float64(c.Hosts)},
		{"data_centres", float64(c.DataCentres)},
		{"engines.count", float64(c.Engines.Count)},
		{"engines.slots", float64(c.Engines.Slots)},
		{"engines.places", float64(c.Engines.Places)},
		{"engines.step_ms", c.Engines.StepMS},
		{"engines.chunk", float64(c.Engines.Chunk)},
		{"engines.read_per_ms", c.Engines.ReadPerMS},
		{"engines.stride", float64(c.Engines.Stride)},
		{"weight_store.load_ms", c.Store.LoadMS},
		{"weight_store.full", float64(c.Store.Full)},
		{"demand.adapters", float64(c.Demand.Adapters)},
	} {
		if number.value <= 0 {
			return errors.Errorf("%s: %v is not greater than zero", number.name, number.value)
		}
	}
	if len(c.Kinds) == 0 {
		return errors.New("kinds: at least one kind of request is required")
	}
	if c.Demand.Zipf <= 1 {
		return errors.Errorf("demand.zipf: %v is not greater than one", c.Demand.Zipf)
	}
	if c.Demand.Swing < 0 || c.Demand.Swing > 1 || (c.Demand.Swing > 0 && c.Demand.SwingS <= 0) {
		return errors.Errorf("demand.swing: %v with demand.swing_s %v is not a share of 0 to 1 with a period", c.Demand.Swing, c.Demand.SwingS)
	}
	if slow := c.Engines.Slowdowns; slow.EveryS > 0 && (slow.ForMS <= 0 || slow.Factor < 1) {
		return errors.New("engines.slowdowns: for_ms is not greater than zero, or factor is less than one")
	}
	if c.Silence != "" && !slices.Contains(SilencePolicies(), c.Silence) {
		return errors.Errorf("silence: unknown policy %q; available: %v", c.Silence, SilencePolicies())
	}
	for _, stall := range c.Stalls {
		if err := stall.check(); err != nil {
			return err
		}
	}
	for _, workspace := range c.Workspaces {
		if workspace.Name == "" || workspace.Weight <= 0 {
			return errors.Errorf("workspaces: %q lacks a name or a weight", workspace.Name)
		}
	}
	for _, kind := range c.Kinds {
		if kind.PerS < 0 || kind.Prompt <= 0 || kind.Events <= 0 || kind.TargetMS <= 0 || kind.DeadlineS <= 0 {
			return errors.Errorf("kinds: %q lacks a rate, prompt, events, target_ms or deadline_s", kind.Name)
		}
	}
	return nil
}

// ordersByPriority reports whether requests are ordered by priority, as
// site.Config.OrdersByPriority does.
func (c Config) ordersByPriority() bool {
	return slices.ContainsFunc(c.Workspaces, func(w WorkspaceConfig) bool { return w.Priority != nil })
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

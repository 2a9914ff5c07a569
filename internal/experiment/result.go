package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Tally counts the outcomes of requests. Owed is what they would be worth if all were
// answered in time, Earned what their answers were worth.
type Tally struct {
	Asked   int     `json:"asked"`
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Owed    float64 `json:"owed"`
	Earned  float64 `json:"earned"`
	// Fetches counts the loads from the weight store that started after one of the requests was
	// the last to ask for the adapter. Like the times from a request to the first event of its
	// answer, in milliseconds, it is 0 in windows.
	Fetches       int     `json:"fetches,omitempty"`
	MedianFirstMS float64 `json:"median_first_ms,omitempty"`
	P99FirstMS    float64 `json:"p99_first_ms,omitempty"`
}

// Share returns the share of their possible worth that the requests earned.
func (t Tally) Share() float64 {
	if t.Owed == 0 {
		return 1
	}
	return t.Earned / t.Owed
}

// windowLength is the length of the windows in which requests are counted.
const windowLength = 2 * time.Second

// Result is the outcome of a run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   Policy `json:"policy"`
	Seed     uint64 `json:"seed"`
	// LostRunners is the share of the runners that a drill loses, 0 for none.
	LostRunners float64          `json:"lost_runners,omitempty"`
	Whole       Tally            `json:"whole"`
	Kinds       map[string]Tally `json:"kinds"`
	// Workspaces has an entry for each workspace of the configuration with requests.
	Workspaces map[string]Tally `json:"workspaces,omitempty"`
	// Surging counts the requests that belong to surges of demand.
	Surging Tally `json:"surging"`
	// Windows count requests by the time at which they were first made.
	Windows []Tally `json:"windows"`
	// Fetches counts loads from the weight store, Wanted the distinct adapters that were
	// fetched, Copies the additional runners that adapters were fetched to, and Reloads
	// the loads from an engine's cache.
	Fetches int `json:"fetches"`
	Wanted  int `json:"wanted"`
	Copies  int `json:"copies"`
	Reloads int `json:"reloads"`
	Orders  int `json:"orders"`
	// Planned counts the replicas that homes asked for ahead of demand, ReplicasLoaded and
	// ReplicasRefused the runners' answers. SurgingFetches counts fetches of adapters that surge in
	// popularity.
	Planned         int `json:"planned"`
	ReplicasLoaded  int `json:"replicas_loaded"`
	ReplicasRefused int `json:"replicas_refused"`
	SurgingFetches  int `json:"surging_fetches"`
	// Recovered counts the adapters of lost runners that their new homes loaded.
	Recovered int `json:"recovered"`
	// Asks counts calls to owners, Told calls to homes, Refusals answers that tell a caller
	// to retry, and TurnedAway requests that an engine did not run.
	Asks       int `json:"asks"`
	Told       int `json:"told"`
	Refusals   int `json:"refusals"`
	TurnedAway int `json:"turned_away"`
	// Overfull counts loads beyond an engine's places, which would crash a real engine.
	Overfull int `json:"overfull"`
	// CutOff and NotCutOff count first tries while hosts are cut off from all runners, from three
	// seconds after the cut.
	CutOff    FirstTries `json:"cut_off,omitzero"`
	NotCutOff FirstTries `json:"not_cut_off,omitzero"`
	// BadPart counts what parts of prompts that end engines caused.
	BadPart BadPartResult `json:"bad_part,omitzero"`
	// Versions counts the streams that callers continued at other hosts.
	Versions VersionResult `json:"versions,omitzero"`
	// Silence counts what silence did to streams that may be resumed.
	Silence SilenceResult `json:"silence,omitzero"`
	// Fill is the mean share of the slots in use, over all steps.
	Fill float64 `json:"fill"`
}

func newResult(cfg Config, policy Policy) *Result {
	return &Result{
		Scenario: cfg.Name, Policy: policy, Seed: cfg.Seed, Kinds: map[string]Tally{}, Workspaces: map[string]Tally{},
		Silence: SilenceResult{Policy: cfg.Silence},
	}
}

func (r *Result) tally(q *request, count func(t *Tally)) {
	if q.bad != nil || q.continues != nil {
		return
	}
	r.tallyClasses(q, count)
	if q.surge {
		count(&r.Surging)
	}
	window := int(q.begun.Sub(q.sim.started) / windowLength)
	for len(r.Windows) <= window {
		r.Windows = append(r.Windows, Tally{})
	}
	count(&r.Windows[window])
}

// tallyClasses counts in all classes of a request, but not in its window.
func (r *Result) tallyClasses(q *request, count func(t *Tally)) {
	count(&r.Whole)
	kind := r.Kinds[q.kind.Name]
	count(&kind)
	r.Kinds[q.kind.Name] = kind
	if q.workspace == nil {
		return
	}
	workspace := r.Workspaces[q.workspace.Name]
	count(&workspace)
	r.Workspaces[q.workspace.Name] = workspace
}

// countFetch counts a fetch that a request caused, which is nil if no request did.
func (r *Result) countFetch(q *request) {
	r.Fetches++
	if q != nil {
		r.tallyClasses(q, func(t *Tally) { t.Fetches++ })
	}
}

func (r *Result) countAsked(q *request) {
	r.tally(q, func(t *Tally) {
		t.Asked++
		t.Owed += q.kind.Worth
	})
}

func (r *Result) countServed(q *request) {
	if q.firstTry != nil && !q.retried {
		q.firstTry.Served++
	}
	if q.bad == nil && q.continues == nil {
		q.sim.recordFirstEvent(q)
	}
	inTime := q.first.Sub(q.begun) <= millis(q.kind.TargetMS) && (q.kind.GapMS == 0 || q.gap <= millis(q.kind.GapMS))
	r.tally(q, func(t *Tally) {
		if inTime {
			t.InTime++
			t.Earned += q.kind.Worth
			return
		}
		t.Late++
		t.Earned += q.kind.Late
	})
}

func (r *Result) countRefused(q *request) { r.tally(q, func(t *Tally) { t.Refused++ }) }

func (r *Result) countFailed(q *request) { r.tally(q, func(t *Tally) { t.Failed++ }) }

func (r *Result) finish(sim *simulation) {
	r.Wanted = len(sim.fetchedTo)
	for _, on := range sim.fetchedTo {
		r.Copies += len(on) - 1
	}
	r.setFirstEvents(sim.firstEvents)
	steps, filled := 0, 0
	for _, e := range sim.engines {
		steps += e.steps
		filled += e.filled
	}
	r.Fill = float64(filled) / float64(max(1, steps*sim.cfg.Engines.Slots))
}

// Worst returns the lowest share of any window that has at least a twentieth of the mean
// number of requests.
func (r *Result) Worst() float64 {
	worst := 1.0
	for _, window := range r.Windows {
		if window.Asked*len(r.Windows)*20 >= r.Whole.Asked {
			worst = min(worst, window.Share())
		}
	}
	return worst
}

// Write writes results as a table.
func Write(out io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "scenario\tpolicy\tseed\tworth\tworst window\tin time\tlate\trefused\tfailed\tfetches\twanted\tcopies\treloads\tasks/request\tfill")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\n",
			r.Scenario, r.Policy, r.Seed, r.Whole.Share(), r.Worst(), r.Whole.InTime, r.Whole.Late, r.Whole.Refused, r.Whole.Failed,
			r.Fetches, r.Wanted, r.Copies, r.Reloads, float64(r.Asks)/float64(max(1, r.Whole.Asked)), r.Fill)
	}
	return table.Flush()
}

package experiment

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Drill is a load that is played twice: with all engines, and with a share of them lost for a
// while. The requests and the adapters that they name are the same in both runs.
type Drill struct {
	Scenario string `json:"scenario"`
	Policy   Policy `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Share of the engines are lost at AtS seconds for ForS seconds. They come back empty.
	Share float64 `json:"share"`
	AtS   float64 `json:"at_s"`
	ForS  float64 `json:"for_s"`
	// All is the run with all engines, Lost the run without the lost ones.
	All  *Result `json:"all"`
	Lost *Result `json:"lost"`
}

// drillPart divides the length of a scenario: the engines are lost during the second of three
// parts, so that a drill shows the load before, during and after the loss.
const drillPart = 3

// CheckShare returns an error unless the share of engines to lose is above zero and below one.
func CheckShare(share float64) error {
	if share > 0 && share < 1 {
		return nil
	}
	return errors.Errorf("share of runners to lose: %v is not between 0 and 1, both excluded", share)
}

// RunDrill plays a configuration with all engines and with a share of them lost.
func RunDrill(cfg Config, policy Policy, share float64) (*Drill, error) {
	if err := CheckShare(share); err != nil {
		return nil, err
	}
	part := cfg.LengthS / drillPart
	loss := FaultConfig{AtS: part, ForS: part}
	all, err := run(cfg, policy, &loss)
	if err != nil {
		return nil, err
	}
	loss.Share = share
	lost, err := run(cfg, policy, &loss)
	if err != nil {
		return nil, err
	}
	lost.LostRunners = share
	return &Drill{Scenario: cfg.Name, Policy: policy, Seed: cfg.Seed, Share: share, AtS: loss.AtS, ForS: loss.ForS, All: all, Lost: lost}, nil
}

// WriteDrills writes drills as a table with two rows for each class of requests: all requests, each
// kind, and each workspace.
func WriteDrills(out io.Writer, drills []*Drill) error {
	for _, drill := range drills {
		_, _ = fmt.Fprintf(out, "%s, %s, seed %d: %.0f%% of the runners lost from %.1f s to %.1f s\n",
			drill.Scenario, drill.Policy, drill.Seed, 100*drill.Share, drill.AtS, drill.AtS+drill.ForS)
		if err := drill.write(out); err != nil {
			return err
		}
	}
	return nil
}

func (d *Drill) write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\trunners\trequests\ton time\tlate\trefused\tfailed\tmedian first\tp99 first\tfetches")
	writeClass(table, wholeClass, d.All.Whole, d.Lost.Whole)
	for _, name := range slices.Sorted(maps.Keys(d.All.Kinds)) {
		writeClass(table, kindClass(name), d.All.Kinds[name], d.Lost.Kinds[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.All.Workspaces)) {
		writeClass(table, workspaceClass(name), d.All.Workspaces[name], d.Lost.Workspaces[name])
	}
	return table.Flush()
}

func writeClass(table io.Writer, class string, all, lost Tally) {
	writeTally(table, class, "all", all)
	writeTally(table, "", "some lost", lost)
}

func writeTally(table io.Writer, class, runners string, t Tally) {
	_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.0f ms\t%.0f ms\t%d\n",
		class, runners, t.Asked, t.InTime, t.Late, t.Refused, t.Failed, t.MedianFirstMS, t.P99FirstMS, t.Fetches)
}

// Classes of requests for the times to the first event.
func kindClass(name string) string      { return "kind " + name }
func workspaceClass(name string) string { return "workspace " + name }

const wholeClass = "all requests"

// recordFirstEvent records the time to the first event of an answered request.
func (sim *simulation) recordFirstEvent(q *request) {
	ms := float64(q.first.Sub(q.begun).Microseconds()) / 1000
	classes := []string{wholeClass, kindClass(q.kind.Name)}
	if q.workspace != nil {
		classes = append(classes, workspaceClass(q.workspace.Name))
	}
	for _, class := range classes {
		sim.firstEvents[class] = append(sim.firstEvents[class], ms)
	}
}

// setFirstEvents sets the quantiles of the times to the first event.
func (r *Result) setFirstEvents(byClass map[string][]float64) {
	r.Whole.setFirstEvents(byClass[wholeClass])
	for name, tally := range r.Kinds {
		tally.setFirstEvents(byClass[kindClass(name)])
		r.Kinds[name] = tally
	}
	for name, tally := range r.Workspaces {
		tally.setFirstEvents(byClass[workspaceClass(name)])
		r.Workspaces[name] = tally
	}
}

func (t *Tally) setFirstEvents(ms []float64) {
	if len(ms) == 0 {
		return
	}
	slices.Sort(ms)
	t.MedianFirstMS, t.P99FirstMS = quantile(ms, 0.5), quantile(ms, 0.99)
}

// quantile returns the smallest value that is at least as great as a share of the sorted values.
func quantile(sorted []float64, share float64) float64 {
	index := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[max(0, index)]
}

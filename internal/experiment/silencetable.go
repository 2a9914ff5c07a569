package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// add adds the counts of another run of the same policy.
func (r *SilenceResult) add(other SilenceResult) {
	r.Whole += other.Whole
	r.CutBudget += other.CutBudget
	r.CutPlace += other.CutPlace
	r.CutLate += other.CutLate
	r.Left += other.Left
	r.NotBegun += other.NotBegun
	r.LongestPauseMS = max(r.LongestPauseMS, other.LongestPauseMS)
	r.Runs += other.Runs
	r.Prompts += other.Prompts
	r.Won += other.Won
	r.GivenUp += other.GivenUp
	r.Overtaken += other.Overtaken
	r.NotHeard += other.NotHeard
	r.NoRetry += other.NoRetry
	r.NotPlaced += other.NotPlaced
	r.LongestBesideMS = max(r.LongestBesideMS, other.LongestBesideMS)
	r.LateFirst += other.LateFirst
}

// silenceRow is a line of the table, over all seeds of one policy.
type silenceRow struct {
	SilenceResult
	scenario             string
	policy               Policy
	asked, refused, asks int
	// p99FirstMS is the highest of all seeds.
	p99FirstMS float64
}

func silenceRows(results []*Result) []*silenceRow {
	var rows []*silenceRow
	for _, r := range results {
		var row *silenceRow
		for _, other := range rows {
			if other.scenario == r.Scenario && other.policy == r.Policy && other.Policy == r.Silence.Policy {
				row = other
			}
		}
		if row == nil {
			row = &silenceRow{scenario: r.Scenario, policy: r.Policy, SilenceResult: SilenceResult{Policy: r.Silence.Policy}}
			rows = append(rows, row)
		}
		row.add(r.Silence)
		row.asked += r.Whole.Asked
		row.refused += r.Whole.Refused
		row.asks += r.Asks
		row.p99FirstMS = max(row.p99FirstMS, r.Whole.P99FirstMS)
	}
	return rows
}

// WriteSilences writes what silence did to streams as a table, over all seeds of each policy.
func WriteSilences(out io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "scenario\tpolicy\tsilence\tasked\twhole\tcut\tof these: retry\tplace\ttime\tcaller left\tnot begun\trefused\tlongest pause ms\truns beyond\tprompts beyond\twon\tgiven up\tovertaken\tlongest beside ms\tput off: unheard\tretry\tplace\tlate first\tp99 first ms\tasks")
	for _, r := range silenceRows(results) {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%d\t%d\t%d\t%.0f\t%d\n",
			r.scenario, r.policy, r.Policy, r.asked, r.Whole, r.Cut(), r.CutBudget, r.CutPlace, r.CutLate, r.Left, r.NotBegun, r.refused,
			r.LongestPauseMS, r.Runs, r.Prompts, r.Won, r.GivenUp, r.Overtaken, r.LongestBesideMS, r.NotHeard, r.NoRetry, r.NotPlaced, r.LateFirst, r.p99FirstMS, r.asks)
	}
	return table.Flush()
}

package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cherrystage/cherrystage/internal/adminapi"
)

type statusCommand struct{}

// Execute shows the state of the deployment as one host sees it.
func (c *statusCommand) Execute([]string) error {
	status, err := client().Status(context.Background())
	if err != nil {
		return err
	}
	return show(status, func(w *tabwriter.Writer) { printStatus(w, status) })
}

func printStatus(w *tabwriter.Writer, s adminapi.Status) {
	row(w, fmt.Sprintf("as seen by %s: revision %d, %d adapters, lease valid: %t", s.Host, s.Revision, s.Adapters, s.LeaseValid))
	row(w)
	row(w, "HOST", "DATA CENTRE", "STATE", "HEARD", "REVISION", "LEAVING")
	for _, h := range s.Hosts {
		row(w, h.Host, h.DataCentre, orDash(string(h.State)), h.Alive, h.Revision, h.Leaving)
	}
	row(w)
	row(w, "RUNNER", "STATE", "OWNER", "FENCE", "RUNNING", "BATCH", "FILL", "SLOTS", "BLOCKED BY", "MODELS")
	for _, r := range s.Runners {
		row(w, r.Runner, r.State, orDash(r.Owner), r.Fence, r.Running, r.MaxBatch, fmt.Sprintf("%.0f%%", r.Fill*100),
			fmt.Sprintf("%d/%d", len(r.Models), r.Slots), r.Unheard, modelsOf(r))
	}
	row(w)
	row(w, fmt.Sprintf("loads: %d under way, %d waiting, %.2f a second allowed here, mean %s; put off: %s",
		s.Loads.Active, len(s.Loads.Waiting), s.Loads.Rate, s.Loads.Mean, orDash(strings.Join(s.Loads.Broken, " "))))
	q := s.Requests
	row(w, fmt.Sprintf("requests on %s: %d ran, %d not run, %d may have run; %d retries; %d in use, %d waiting",
		s.Host, q.Ran, q.NotRun, q.MayHaveRun, q.Retries, s.InUse, s.Waiting))
	row(w, fmt.Sprintf("load stalls: %d, mean %.0f ms, p95 %.0f ms, p99 %.0f ms", q.Stalls, q.Stall.Mean, q.Stall.P95, q.Stall.P99))
}

func modelsOf(r adminapi.RunnerStatus) string {
	var models []string
	for _, slot := range r.Models {
		text := slot.Model
		if slot.State != "resident" {
			text += "(" + string(slot.State) + ")"
		}
		models = append(models, text)
	}
	return orDash(strings.Join(models, " "))
}

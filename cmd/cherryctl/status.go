package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cherrystage/cherrystage/internal/adminapi"
)

type statusCommand struct{}

// Execute shows the state of the deployment as seen by one host.
func (c *statusCommand) Execute([]string) error {
	status, err := newClient().Status(context.Background())
	if err != nil {
		return err
	}
	return printResult(status, func(w *tabwriter.Writer) { printStatus(w, status) })
}

func printStatus(w *tabwriter.Writer, s adminapi.Status) {
	printRow(w, fmt.Sprintf("as seen by %s: revision %d, %d adapters, lease valid: %t", s.Host, s.Revision, s.Adapters, s.LeaseValid))
	printRow(w)
	printRow(w, "HOST", "DATA CENTRE", "STATE", "HEARD", "REVISION", "LEAVING")
	for _, h := range s.Hosts {
		printRow(w, h.Host, h.DataCentre, dashIfEmpty(string(h.State)), h.Alive, h.Revision, h.Leaving)
	}
	printRow(w)
	printRow(w, "RUNNER", "STATE", "OWNER", "FENCE", "RUNNING", "BATCH", "FILL", "SLOTS", "BLOCKED BY", "MODELS")
	for _, r := range s.Runners {
		printRow(w, r.Runner, r.State, dashIfEmpty(r.Owner), r.Fence, r.Running, r.MaxBatch, fmt.Sprintf("%.0f%%", r.Fill*100),
			fmt.Sprintf("%d/%d", len(r.Models), r.Slots), r.Unheard, formatModels(r))
	}
	printRow(w)
	printRow(w, fmt.Sprintf("loads: %d under way, %d waiting, %.2f a second allowed here, mean %s; put off: %s",
		s.Loads.Active, len(s.Loads.Waiting), s.Loads.Rate, s.Loads.Mean, dashIfEmpty(strings.Join(s.Loads.Broken, " "))))
	requests := s.Requests
	printRow(w, fmt.Sprintf("requests on %s: %d ran, %d not run, %d may have run; %d retries; %d in use, %d waiting",
		s.Host, requests.Ran, requests.NotRun, requests.MayHaveRun, requests.Retries, s.InUse, s.Waiting))
	printRow(w, fmt.Sprintf("load stalls: %d, mean %.0f ms, p95 %.0f ms, p99 %.0f ms", requests.Stalls, requests.Stall.Mean, requests.Stall.P95, requests.Stall.P99))
}

func formatModels(r adminapi.RunnerStatus) string {
	var models []string
	for _, slot := range r.Models {
		text := slot.Model
		if slot.State != "resident" {
			text += "(" + string(slot.State) + ")"
		}
		models = append(models, text)
	}
	return dashIfEmpty(strings.Join(models, " "))
}

package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cherrystage/cherrystage/internal/contention"
	"github.com/cherrystage/cherrystage/internal/hostmetrics"
	"github.com/pkg/errors"
)

// maxListedReplicas is the number of an adapter's replicas that a row names.
const maxListedReplicas = 4

type contentionCommand struct {
	Rows int `long:"rows" default:"20" description:"most rows of each table; JSON has all"`
	Args struct {
		Hosts []string `positional-arg-name:"HOST" description:"hosts by name or address, or URLs of their metrics pages" required:"1"`
	} `positional-args:"yes"`
}

// Execute shows scheduling under contention, merged over hosts. It fails only if no host answers.
func (c *contentionCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	fleet := hostmetrics.SumContention(ctx, c.Args.Hosts)
	if fleet.Hosts == 0 {
		return errors.Errorf("no host answered: %s: %s", fleet.Missing[0].Host, fleet.Missing[0].Error)
	}
	return printResult(fleet, func(w *tabwriter.Writer) {
		printHosts(w, fleet)
		c.printRequests(w, fleet)
		c.printAdapters(w, fleet)
		c.printRunners(w, fleet)
		c.printSlots(w, fleet)
	})
}

func printHosts(w *tabwriter.Writer, fleet contention.Fleet) {
	printRow(w, fmt.Sprintf("%d hosts answered, %d did not", fleet.Hosts, len(fleet.Missing)))
	for _, missing := range fleet.Missing {
		printRow(w, "no answer from "+missing.Host+": "+missing.Error)
	}
}

// printSection begins a table after an empty line. Columns are aligned within a section only.
func printSection(w *tabwriter.Writer, heads ...any) {
	_ = w.Flush()
	_, _ = fmt.Fprintln(w)
	printRow(w, heads...)
}

// printRows prints the first rows of a table and the number of those that are left out.
func (c *contentionCommand) printRows(w *tabwriter.Writer, count int, printOne func(i int)) {
	for i := range min(count, max(0, c.Rows)) {
		printOne(i)
	}
	if left := count - max(0, c.Rows); left > 0 {
		_ = w.Flush()
		printRow(w, fmt.Sprintf("and %d more", left))
	}
}

func (c *contentionCommand) printRequests(w *tabwriter.Writer, fleet contention.Fleet) {
	printSection(w, "WORKSPACE PRIORITY", "ROUTE PRIORITY", "WORKSPACE", "CAUSE", "OPEN", "WAIT", "REFUSED", "SERVED", "FAILED")
	total := fleet.Totals
	printRow(w, "all", "all", "all", "all", total.Open, total.Deferred, total.Refused, total.Served, total.Failed)
	c.printRows(w, len(fleet.Requests), func(i int) {
		r := fleet.Requests[i]
		printRow(w, r.WorkspacePriority, r.RoutePriority, dashIfEmpty(r.Workspace), dashIfEmpty(r.Cause), r.Open, r.Deferred, r.Refused, r.Served, r.Failed)
	})
}

func (c *contentionCommand) printAdapters(w *tabwriter.Writer, fleet contention.Fleet) {
	printSection(w, "ADAPTER", "DEMAND", "REFUSED", "PLANNED", "REPLICAS", "ON")
	c.printRows(w, len(fleet.Adapters), func(i int) {
		a := fleet.Adapters[i]
		printRow(w, a.Adapter, fmt.Sprintf("%.1f/s", a.PerS), fmt.Sprintf("%.1f/s", a.RefusedPerS), a.Planned, len(a.Replicas), listReplicas(a.Replicas))
	})
	if len(fleet.Evictions) == 0 {
		return
	}
	printSection(w, "EVICTED FOR", "ADAPTERS")
	for _, reason := range slices.Sorted(maps.Keys(fleet.Evictions)) {
		printRow(w, reason, fleet.Evictions[reason])
	}
}

func listReplicas(replicas []string) string {
	if len(replicas) <= maxListedReplicas {
		return dashIfEmpty(strings.Join(replicas, ","))
	}
	return strings.Join(replicas[:maxListedReplicas], ",") + ",…"
}

func (c *contentionCommand) printRunners(w *tabwriter.Writer, fleet contention.Fleet) {
	slow := 0
	for _, runner := range fleet.Runners {
		if runner.Slow() {
			slow++
		}
	}
	printSection(w, "RUNNER", "OWNER", "SLOWNESS", "WORK", "PREFILL", "BACKLOG", "REQUESTS", "SLOTS", "STATE")
	printRow(w, "all", "all", fmt.Sprintf("%d of %d slow", slow, len(fleet.Runners)))
	c.printRows(w, len(fleet.Runners), func(i int) {
		r := fleet.Runners[i]
		printRow(w, r.Runner.Runner, r.Host, fmt.Sprintf("%.2f", r.Slowness), dashIfZero(float64(r.WorkPercent), "%.0f%%"), dashIfZero(r.TokensPerMS, "%.1f/ms"),
			fmt.Sprintf("%dms", r.BacklogMS), r.Load, r.Slots, runnerState(r))
	})
}

func runnerState(r contention.FleetRunner) string {
	switch {
	case r.Suspect:
		return "suspect"
	case r.Slow():
		return "slow"
	default:
		return "-"
	}
}

func dashIfZero(value float64, format string) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprintf(format, value)
}

func (c *contentionCommand) printSlots(w *tabwriter.Writer, fleet contention.Fleet) {
	printSection(w, "SLOT LEDGER", "HOST", "IN USE", "SLOTS", "QUEUED", "LONGEST", "GRANTED", "REFUSED", "EXPIRED", "FULL")
	printLedger(w, "all", "all", fleet.SlotTotals)
	c.printRows(w, len(fleet.Slots), func(i int) {
		printLedger(w, fleet.Slots[i].Service, fleet.Slots[i].Host, fleet.Slots[i].SlotLedger)
	})
}

func printLedger(w *tabwriter.Writer, service, host string, l contention.SlotLedger) {
	printRow(w, service, host, l.Granted, l.Slots, l.Queued, fmt.Sprintf("%dms", l.LongestWaitMS), l.Grants, l.Refused, l.Expired, listReplicas(l.Full))
}

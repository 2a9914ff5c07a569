package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/cherrystage/cherrystage/internal/hostmetrics"
)

// metricsTimeout limits the time to read the metrics of all hosts.
const metricsTimeout = 5 * time.Second

type quotasCommand struct {
	Args struct {
		URLs []string `positional-arg-name:"URL" description:"metrics pages of hosts, for example http://10.1.0.4:7399/metrics" required:"1"`
	} `positional-args:"yes"`
}

// Execute shows the quota usage of workspaces, summed over hosts.
func (c *quotasCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	rows, err := hostmetrics.SumWorkspaces(ctx, c.Args.URLs)
	if err != nil {
		return err
	}
	return printResult(rows, func(w *tabwriter.Writer) {
		printRow(w, "WORKSPACE", "RATE", "BURST", "UNIT", "CHARGED", "REFUSED", "UNKNOWN", "UNITS", "RETURNED", "HOSTS")
		for _, r := range rows {
			unit := "requests"
			if r.InTokens {
				unit = "tokens"
			}
			printRow(w, r.Name, fmt.Sprintf("%.0f/s", r.Rate), fmt.Sprintf("%.0f", r.Burst), unit, r.Charged, r.Refused, r.Unknown,
				fmt.Sprintf("%.0f", r.Units), fmt.Sprintf("%.0f", r.Returned), r.Hosts)
		}
	})
}

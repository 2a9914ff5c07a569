package main

import (
	"context"
	"fmt"
	"text/tabwriter"
)

type explainCommand struct {
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" description:"the X-Request-Id of the request"`
	} `positional-args:"yes" required:"yes"`
}

// Execute shows how a request was handled.
func (c *explainCommand) Execute([]string) error {
	report, err := newClient().Explain(context.Background(), c.Args.Request)
	if err != nil {
		return err
	}
	return printResult(report, func(w *tabwriter.Writer) {
		printRow(w, fmt.Sprintf("%s of %s for %s: %s on %s in %.1f ms", report.ID, report.Caller, report.Model, dashIfEmpty(report.Verdict), dashIfEmpty(report.Runner), report.TookMS))
		for _, note := range report.Notes {
			printRow(w, fmt.Sprintf("%9.1f ms", note.AfterMS), note.Text)
		}
		if report.Refusal != "" {
			printRow(w, "refused: "+report.Refusal)
		}
	})
}

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
	story, err := newClient().Explain(context.Background(), c.Args.Request)
	if err != nil {
		return err
	}
	return printResult(story, func(w *tabwriter.Writer) {
		printRow(w, fmt.Sprintf("%s of %s for %s: %s on %s in %.1f ms", story.ID, story.Caller, story.Model, dashIfEmpty(story.Verdict), dashIfEmpty(story.Runner), story.TookMS))
		for _, note := range story.Notes {
			printRow(w, fmt.Sprintf("%9.1f ms", note.AfterMS), note.Text)
		}
		if story.Refusal != "" {
			printRow(w, "refused: "+story.Refusal)
		}
	})
}

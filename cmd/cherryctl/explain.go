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

// Execute shows the story of a request.
func (c *explainCommand) Execute([]string) error {
	story, err := client().Explain(context.Background(), c.Args.Request)
	if err != nil {
		return err
	}
	return show(story, func(w *tabwriter.Writer) {
		row(w, fmt.Sprintf("%s of %s for %s: %s on %s in %.1f ms", story.ID, story.Caller, story.Model, orDash(story.Verdict), orDash(story.Runner), story.TookMS))
		for _, note := range story.Notes {
			row(w, fmt.Sprintf("%9.1f ms", note.AfterMS), note.Text)
		}
		if story.Refusal != "" {
			row(w, "refused: "+story.Refusal)
		}
	})
}

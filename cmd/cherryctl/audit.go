package main

import (
	"context"
	"strings"
	"text/tabwriter"
	"time"
)

type auditCommand struct {
	Limit int `long:"limit" default:"50" description:"most changes shown, newest first"`
}

// Execute shows the trail of changes.
func (c *auditCommand) Execute([]string) error {
	trail, err := client().Audit(context.Background(), c.Limit)
	if err != nil {
		return err
	}
	return show(trail, func(w *tabwriter.Writer) {
		row(w, "REVISION", "AT", "OPERATOR", "FROM", "CHANGE", "ITEMS", "NOTE")
		for _, change := range trail {
			row(w, change.Revision, change.At.Format(time.RFC3339), change.Operator, change.From, change.ID,
				strings.Join(change.ItemNames(), " "), orDash(change.Note))
		}
	})
}

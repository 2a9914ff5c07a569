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

// Execute shows the audit trail of changes.
func (c *auditCommand) Execute([]string) error {
	changes, err := newClient().Audit(context.Background(), c.Limit)
	if err != nil {
		return err
	}
	return printResult(changes, func(w *tabwriter.Writer) {
		printRow(w, "REVISION", "AT", "OPERATOR", "FROM", "CHANGE", "ITEMS", "NOTE")
		for _, change := range changes {
			printRow(w, change.Revision, change.At.Format(time.RFC3339), change.Operator, change.From, change.ID,
				strings.Join(change.ItemNames(), " "), dashIfEmpty(change.Note))
		}
	})
}

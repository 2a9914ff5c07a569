package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cherrystage/cherrystage/internal/inventory"
)

const tablePadding = 2

// show prints a value as JSON, or by the table function.
func show(value any, table func(w *tabwriter.Writer)) error {
	if global.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, tablePadding, ' ', 0)
	table(w)
	return w.Flush()
}

func row(w *tabwriter.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// printOps prints the steps of a change as a diff.
func printOps(w *tabwriter.Writer, ops []inventory.Op) {
	for _, op := range ops {
		sign := "put"
		if op.Deletes() {
			sign = "delete"
		}
		row(w, sign, op.Item())
	}
}

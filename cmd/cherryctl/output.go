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

// printResult prints a value as JSON or, by the given function, as a table.
func printResult(value any, printTable func(w *tabwriter.Writer)) error {
	if global.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, tablePadding, ' ', 0)
	printTable(w)
	return w.Flush()
}

func printRow(w *tabwriter.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// printOps prints the operations of a change.
func printOps(w *tabwriter.Writer, ops []inventory.Op) {
	for _, op := range ops {
		action := "put"
		if op.Deletes() {
			action = "delete"
		}
		printRow(w, action, op.Item())
	}
}

package main

import (
	"context"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/pkg/errors"
)

type getCommand struct {
	Args struct {
		Kind string `positional-arg-name:"KIND" description:"adapters, callers, services or rules; all by default"`
		Name string `positional-arg-name:"NAME" description:"one item of the kind"`
	} `positional-args:"yes"`
}

// Execute shows the inventory.
func (c *getCommand) Execute([]string) error {
	result, err := newClient().Inventory(context.Background())
	if err != nil {
		return err
	}
	if err := filterInventory(&result, c.Args.Kind, c.Args.Name); err != nil {
		return err
	}
	return printResult(result, func(w *tabwriter.Writer) { printInventory(w, result) })
}

// filterInventory removes all items but those of a kind (empty: all) and with a name (empty:
// any). It fails if the kind is unknown or no item has the name.
func filterInventory(result *adminapi.InventoryResult, kind, name string) error {
	kind = strings.TrimSuffix(kind, "s")
	switch kind {
	case "":
		return nil
	case "adapter", "caller", "service", "rule":
	default:
		return errors.Errorf("no kind %q: want adapters, callers, services or rules", kind)
	}
	d := &result.Document
	d.Adapters = filterItems(d.Adapters, kind == "adapter", name, func(i int) string { return d.Adapters[i].Name })
	d.Callers = filterItems(d.Callers, kind == "caller", name, func(i int) string { return d.Callers[i].Name })
	d.Services = filterItems(d.Services, kind == "service", name, func(i int) string { return d.Services[i].Name })
	d.Rules = filterItems(d.Rules, kind == "rule", name, func(i int) string { return d.Rules[i].Name })
	if name != "" && len(d.Adapters)+len(d.Callers)+len(d.Services)+len(d.Rules) == 0 {
		return errors.Errorf("no %s %q in revision %d", kind, name, result.Revision)
	}
	return nil
}

func filterItems[T any](items []T, kindSelected bool, name string, nameOf func(int) string) []T {
	var filtered []T
	for i := range items {
		if kindSelected && (name == "" || nameOf(i) == name) {
			filtered = append(filtered, items[i])
		}
	}
	return filtered
}

func printInventory(w *tabwriter.Writer, result adminapi.InventoryResult) {
	printRow(w, "REVISION", result.Revision)
	if len(result.Adapters) > 0 {
		printRow(w, "ADAPTER", "BASE", "CURRENT", "VERSIONS", "CALLERS")
	}
	for _, a := range result.Adapters {
		printRow(w, a.Name, a.Base, a.Current, strings.Join(a.Versions, ","), strings.Join(a.Callers, ","))
	}
	if len(result.Callers) > 0 {
		printRow(w, "CALLER", "PRIORITY", "WEIGHT")
	}
	for _, c := range result.Callers {
		printRow(w, c.Name, c.Priority, max(1, c.Weight))
	}
	if len(result.Services) > 0 {
		printRow(w, "SERVICE", "CALLERS")
	}
	for _, s := range result.Services {
		printRow(w, s.Name, strings.Join(s.Callers, ","))
	}
	if len(result.Rules) > 0 {
		printRow(w, "RULE", "CALLER", "ADAPTER", "SERVICE", "PATH", "NON-IDEMPOTENT", "PRIORITY")
	}
	for _, r := range result.Rules {
		priority := "-"
		if r.Priority != nil {
			priority = strconv.Itoa(*r.Priority)
		}
		printRow(w, r.Name, dashIfEmpty(r.Caller), dashIfEmpty(r.Adapter), dashIfEmpty(r.Service), dashIfEmpty(r.PathPrefix), r.NonIdempotent, priority)
	}
}

func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

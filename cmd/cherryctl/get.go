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
	result, err := client().Inventory(context.Background())
	if err != nil {
		return err
	}
	if err := narrow(&result, c.Args.Kind, c.Args.Name); err != nil {
		return err
	}
	return show(result, func(w *tabwriter.Writer) { printInventory(w, result) })
}

// narrow keeps only what was asked for.
func narrow(result *adminapi.InventoryResult, kind, name string) error {
	kind = strings.TrimSuffix(kind, "s")
	switch kind {
	case "":
		return nil
	case "adapter", "caller", "service", "rule":
	default:
		return errors.Errorf("no kind %q: want adapters, callers, services or rules", kind)
	}
	d := &result.Document
	d.Adapters = keep(d.Adapters, kind == "adapter", name, func(i int) string { return d.Adapters[i].Name })
	d.Callers = keep(d.Callers, kind == "caller", name, func(i int) string { return d.Callers[i].Name })
	d.Services = keep(d.Services, kind == "service", name, func(i int) string { return d.Services[i].Name })
	d.Rules = keep(d.Rules, kind == "rule", name, func(i int) string { return d.Rules[i].Name })
	if name != "" && len(d.Adapters)+len(d.Callers)+len(d.Services)+len(d.Rules) == 0 {
		return errors.Errorf("no %s %q in revision %d", kind, name, result.Revision)
	}
	return nil
}

func keep[T any](items []T, kind bool, name string, nameOf func(int) string) []T {
	var kept []T
	for i := range items {
		if kind && (name == "" || nameOf(i) == name) {
			kept = append(kept, items[i])
		}
	}
	return kept
}

func printInventory(w *tabwriter.Writer, result adminapi.InventoryResult) {
	row(w, "REVISION", result.Revision)
	if len(result.Adapters) > 0 {
		row(w, "ADAPTER", "BASE", "CURRENT", "VERSIONS", "CALLERS")
	}
	for _, a := range result.Adapters {
		row(w, a.Name, a.Base, a.Current, strings.Join(a.Versions, ","), strings.Join(a.Callers, ","))
	}
	if len(result.Callers) > 0 {
		row(w, "CALLER", "PRIORITY", "WEIGHT")
	}
	for _, c := range result.Callers {
		row(w, c.Name, c.Priority, max(1, c.Weight))
	}
	if len(result.Services) > 0 {
		row(w, "SERVICE", "CALLERS")
	}
	for _, s := range result.Services {
		row(w, s.Name, strings.Join(s.Callers, ","))
	}
	if len(result.Rules) > 0 {
		row(w, "RULE", "CALLER", "ADAPTER", "SERVICE", "PATH", "NON-IDEMPOTENT", "PRIORITY")
	}
	for _, r := range result.Rules {
		priority := "-"
		if r.Priority != nil {
			priority = strconv.Itoa(*r.Priority)
		}
		row(w, r.Name, orDash(r.Caller), orDash(r.Adapter), orDash(r.Service), orDash(r.PathPrefix), r.NonIdempotent, priority)
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

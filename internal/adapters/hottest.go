package adapters

import (
	"cmp"
	"slices"
)

// HomeAdapter is an adapter with much demand, with its home runner.
type HomeAdapter struct {
	Home string
	// Held reports whether the home runner holds the adapter.
	Held bool
	HotAdapter
}

// Hottest returns up to limit adapters with the most demand whose homes are this host's runners.
func (o *Owner) Hottest(limit int) []HomeAdapter {
	var hottest []HomeAdapter
	for id, controller := range o.controllersByID() {
		for _, hot := range controller.HottestAtHome(limit) {
			hottest = append(hottest, HomeAdapter{Home: id, Held: controller.Holds(hot.Key.Adapter), HotAdapter: hot})
		}
	}
	slices.SortFunc(hottest, func(a, b HomeAdapter) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Key.PlacementKey(), b.Key.PlacementKey()), cmp.Compare(a.Home, b.Home))
	})
	return hottest[:min(limit, len(hottest))]
}

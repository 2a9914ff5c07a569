// Package hostmetrics reads the metrics pages of hosts and sums them up over a fleet.
package hostmetrics

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cherrystage/cherrystage/internal/quota"
	"github.com/pkg/errors"
)

// maxPageBytes limits the size of a metrics page.
const maxPageBytes = 4 << 20

// Workspace is the sum of a workspace's metrics over hosts, each counted since the host's start.
type Workspace struct {
	Name string `json:"name"`
	quota.WorkspaceMetrics
	// Hosts is the number of hosts that report metrics of the workspace.
	Hosts int `json:"hosts"`
}

// page is the part of a host's metrics page that is used.
type page struct {
	Workspaces map[string]quota.WorkspaceMetrics `json:"workspaces"`
}

// SumWorkspaces reads the metrics pages of hosts and adds up the usage of each workspace, sorted
// by name. It fails if any host does not respond, because the sums would be too low.
func SumWorkspaces(ctx context.Context, urls []string) ([]Workspace, error) {
	byName := map[string]*Workspace{}
	for _, url := range urls {
		var fetched page
		if err := fetchPage(ctx, url, &fetched); err != nil {
			return nil, errors.Wrap(err, url)
		}
		addPage(byName, fetched)
	}
	rows := make([]Workspace, 0, len(byName))
	for _, workspace := range byName {
		rows = append(rows, *workspace)
	}
	slices.SortFunc(rows, func(a, b Workspace) int { return strings.Compare(a.Name, b.Name) })
	return rows, nil
}

func addPage(byName map[string]*Workspace, fetched page) {
	for name, metrics := range fetched.Workspaces {
		total := byName[name]
		if total == nil {
			total = &Workspace{Name: name}
			byName[name] = total
		}
		total.Hosts++
		total.Rate, total.Burst, total.InTokens = metrics.Rate, metrics.Burst, metrics.InTokens
		total.Add(metrics.Usage)
	}
}

// fetchPage reads the page at a URL into a value with the fields that are used of it.
func fetchPage(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxPageBytes)).Decode(into)
	return errors.Wrap(err, "metrics")
}

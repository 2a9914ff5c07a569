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

// maxPage bounds a metrics page.
const maxPage = 4 << 20

// Workspace is what a fleet's hosts did for a workspace since they started.
type Workspace struct {
	Name string `json:"name"`
	quota.WorkspaceMetrics
	// Hosts is the number of hosts that had requests of it.
	Hosts int `json:"hosts"`
}

// page is what is read of a host's metrics.
type page struct {
	Workspaces map[string]quota.WorkspaceMetrics `json:"workspaces"`
}

// Workspaces reads the metrics pages of hosts and adds up the use of each workspace. A host
// that does not answer is an error: a sum without it would tell too little.
func Workspaces(ctx context.Context, urls []string) ([]Workspace, error) {
	byName := map[string]*Workspace{}
	for _, url := range urls {
		read, err := get(ctx, url)
		if err != nil {
			return nil, errors.Wrap(err, url)
		}
		add(byName, read)
	}
	rows := make([]Workspace, 0, len(byName))
	for _, workspace := range byName {
		rows = append(rows, *workspace)
	}
	slices.SortFunc(rows, func(a, b Workspace) int { return strings.Compare(a.Name, b.Name) })
	return rows, nil
}

func add(byName map[string]*Workspace, read page) {
	for name, use := range read.Workspaces {
		one := byName[name]
		if one == nil {
			one = &Workspace{Name: name}
			byName[name] = one
		}
		one.Hosts++
		one.Rate, one.Burst, one.InTokens = use.Rate, use.Burst, use.InTokens
		one.Add(use.Usage)
	}
}

func get(ctx context.Context, url string) (page, error) {
	var read page
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return read, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return read, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return read, errors.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxPage)).Decode(&read)
	return read, errors.Wrap(err, "metrics")
}

package adminapi

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/loading"
	"github.com/cherrystage/cherrystage/internal/residency"
)

// Status is the state of the deployment as one host sees it.
type Status struct {
	Host     string             `json:"host"`
	Now      time.Time          `json:"now"`
	Revision inventory.Revision `json:"revision"`
	Adapters int                `json:"adapters"`
	// LeaseValid means that this host's lease is valid, so the object API answered it
	// recently.
	LeaseValid bool           `json:"lease_valid"`
	Hosts      []HostStatus   `json:"hosts"`
	Runners    []RunnerStatus `json:"runners"`
	// Services are the hosts that run plain services.
	Services []fleet.Host             `json:"services,omitempty"`
	Loads    loading.View             `json:"loads"`
	Requests dispatch.MetricsSnapshot `json:"requests"`
	// InUse and Waiting are the numbers of requests that run and that wait for admission
	// on this host.
	InUse   int `json:"in_use"`
	Waiting int `json:"waiting"`
}

// HostStatus is the state of one entry host.
type HostStatus struct {
	fleet.Member
	State fleet.State `json:"state"`
	// Alive means that this host still receives heartbeats of the entry host.
	Alive bool `json:"speaking"`
}

// RunnerStatus is the state of one runner.
type RunnerStatus struct {
	residency.View
	State      fleet.State `json:"state"`
	DataCentre string      `json:"data_centre"`
	Base       string      `json:"base"`
}

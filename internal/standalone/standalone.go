// Package standalone runs stand-ins for the platform and the runners inside the daemon's
// process, with a small sample inventory, to try out the daemon on one machine.
package standalone

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/configlog"
	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/settings"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/pkg/errors"
)

// Keys of the sample. They give access to the standalone daemon only.
const (
	CallerKey   = "sample-caller-key"
	OperatorKey = "sample-operator-key"
	peerKey     = "sample-peer-key-for-first-tries"
)

// Start starts the stand-ins, points the settings at them and applies the
// sample inventory. The returned function stops the stand-ins.
func Start(ctx context.Context, cfg *settings.Settings) (func(), error) {
	standins, err := standin.NewEnvironment(standin.EnvironmentConfig{
		Runners: 3, Slots: 3, MaxBatch: 16, TokenTime: 40 * time.Millisecond, LoadTime: 300 * time.Millisecond,
		ReportLag: 200 * time.Millisecond, ParallelLoads: 1, Base: "base", DataCentre: cfg.DataCentre, Service: "dispatch-api",
	}, standin.Loopback)
	if err != nil {
		return nil, errors.Wrap(err, "start stand-ins")
	}
	standins.AddEntry(cfg.Host, cfg.DataCentre, cfg.AdvertisedPeerAddress())
	cfg.ObjectAPI = "http://" + standins.Address
	cfg.HostList = cfg.ObjectAPI
	cfg.PeerKey = peerKey
	cfg.OperatorKeys = append(cfg.OperatorKeys, "sample-operator="+Digest(OperatorKey))
	if err := applySample(ctx, cfg.ObjectAPI); err != nil {
		standins.Close()
		return nil, err
	}
	return standins.Close, nil
}

// Digest returns the digest of a key in the form that settings and inventories use.
func Digest(key string) string { return credential.Of(key).String() }

func applySample(ctx context.Context, url string) error {
	publisher := configlog.NewPublisher(objectapi.NewClient(url, nil))
	_, err := publisher.Publish(ctx, inventory.Empty(), configlog.Proposal{
		ChangeID: "sample", Operator: "sample-operator", Note: "sample inventory",
		Ops: inventory.Diff(inventory.Empty(), Sample()),
	}, time.Now())
	return errors.Wrap(err, "apply sample inventory")
}

// Sample returns the sample inventory.
func Sample() inventory.Document {
	adapter := func(name string, versions ...string) inventory.Adapter {
		return inventory.Adapter{Name: name, Base: "base", Versions: versions, Current: versions[len(versions)-1], Callers: []string{inventory.AnyCaller}}
	}
	return inventory.Document{
		Adapters: []inventory.Adapter{
			adapter("mooring-plan", "1", "2"), adapter("shift-handover", "1"),
			adapter("level-briefing", "1"), adapter("trend-digest", "1"),
		},
		Callers:  []inventory.Caller{{Name: "pilot-desk", KeyDigest: Digest(CallerKey), Priority: 5}},
		Services: []inventory.Service{{Name: "dispatch-api", Callers: []string{inventory.AnyCaller}}},
		Rules:    []inventory.Rule{{Name: "tug-calls-once", Service: "dispatch-api", PathPrefix: "/tugs", NonIdempotent: true}},
	}
}

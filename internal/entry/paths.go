package entry

import (
	"context"
	"net"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/reach"
	"github.com/cherrystage/cherrystage/internal/timing"
)

// tunnelDrainInterval is how often a host that stops checks for open tunnels.
const tunnelDrainInterval = 50 * time.Millisecond

// createPaths creates the connections to runners and the relay for other hosts.
func (e *Entry) createPaths(dial Dialers, running awake.Clock) {
	e.connector = reach.NewConnector(reach.ConnectorDeps{
		Dial: reach.DialFunc(dial.Runners), DialHost: reach.DialFunc(dial.Hosts), Key: e.cfg.PeerKey, Runners: e.runnerAddresses, Relays: e.relaysTo,
		OnCutOff: func() { e.client.CloseIdleConnections() }, Now: e.now, Running: running, Log: e.log,
	})
	e.relay = &reach.Relay{Key: e.cfg.PeerKey, Dial: e.connector.DialDirect, Reaches: func(address string) bool { return !e.connector.Paths.Fails(address) }, IsRunner: e.isRunner, Log: e.log}
}

// ServeRelay lets other hosts connect to runners through this one, until listener is closed.
func (e *Entry) ServeRelay(listener net.Listener) error { return e.relay.Server().Serve(listener) }

// usesRelay reports whether a runner is to be reached through another host.
func (e *Entry) usesRelay(address string) bool { return !e.connector.Direct(address) }

func (e *Entry) runnerAddresses() []string {
	runners := e.directory.Snapshot().Runners
	addresses := make([]string, 0, len(runners))
	for _, runner := range runners {
		addresses = append(addresses, runner.Address)
	}
	return addresses
}

func (e *Entry) isRunner(address string) bool {
	for _, runner := range e.directory.Snapshot().Runners {
		if runner.Address == address {
			return true
		}
	}
	return false
}

// relaysTo returns the hosts to ask for a tunnel to a runner, in order.
func (e *Entry) relaysTo(address string) []reach.RelayHost {
	if e.cfg.RelayPort == "" {
		return nil
	}
	var relays []reach.RelayHost
	for _, host := range e.state.Relays(address, e.dataCentreOf(address)) {
		ip, _, err := net.SplitHostPort(host.Address)
		if err != nil {
			continue
		}
		relays = append(relays, reach.RelayHost{Name: host.Name, Address: net.JoinHostPort(ip, e.cfg.RelayPort)})
	}
	return relays
}

func (e *Entry) dataCentreOf(address string) string {
	for _, runner := range e.directory.Snapshot().Runners {
		if runner.Address == address {
			return runner.DataCentre
		}
	}
	return ""
}

// maxSilenceProbes bounds the paths that are probed at a time because runners are silent.
const maxSilenceProbes = 2

// probeSilentRunners probes direct paths to runners that have sent nothing for a while.
func (e *Entry) probeSilentRunners(ctx context.Context) {
	doubtful := e.board.DoubtfulPaths(e.now())
	if len(doubtful) == 0 {
		return
	}
	runners := e.directory.Snapshot().Runners
	for _, id := range doubtful[:min(len(doubtful), maxSilenceProbes)] {
		if runner := runners[id]; runner != nil {
			e.connector.ProbeSilent(ctx, runner.Address)
		}
	}
}

// runnerLiveness returns what is known of a runner since one of its responses was truncated. A host
// that loses its paths sees truncated responses of runners that live; if it reported them as
// crashes, a request that was running there would be kept from all runners.
func (e *Entry) runnerLiveness(id string, since time.Time) quarantine.Liveness {
	runner := e.directory.Snapshot().Runners[id]
	paths := e.connector.Paths
	switch {
	case e.board.RespondedSince(id, since):
		return quarantine.Alive
	case runner == nil:
		return quarantine.Gone
	case paths.RelayedSince(runner.Address, since):
		return quarantine.Alive
	case paths.Works(runner.Address) && paths.ReachedSince(since):
		return quarantine.Silent
	case paths.Works(runner.Address):
		e.connector.ProbeSilent(context.Background(), runner.Address)
	case e.connector.MayRelay(runner.Address):
		e.connector.ProveRelay(runner.Address)
	default:
		// Neither this host nor a relay can connect to it.
		return quarantine.Gone
	}
	return quarantine.Unknown
}

// reachesOwned reports whether this host reaches any of the runners that it owns, or whether no
// other host is known to reach them either. A host that owns none reaches them if it has lost
// its path to none: it could claim any.
func (e *Entry) reachesOwned(owned []string) bool {
	if len(owned) == 0 {
		return !e.connector.Paths.IsCutOff() && !e.lostAny()
	}
	lost := false
	for _, address := range owned {
		switch {
		case e.connector.Paths.Works(address):
			return true
		case e.connector.Paths.Lost(address):
			lost = true
		default:
			e.connector.ProveRelay(address)
		}
	}
	return !lost
}

// lostAny reports whether only other hosts reach some runner that needs an owner.
func (e *Entry) lostAny() bool {
	if len(e.connector.Paths.Failing()) == 0 {
		return false
	}
	for _, runner := range e.engineRunners() {
		if e.connector.Paths.Lost(runner.Address) {
			return true
		}
	}
	return false
}

// drainTunnels waits until the tunnels that other hosts use have ended.
func (e *Entry) drainTunnels(ctx context.Context) {
	for e.relay.Open() > 0 && ctx.Err() == nil {
		timing.Sleep(ctx, tunnelDrainInterval)
	}
}

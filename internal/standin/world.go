package standin

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/pkg/errors"
)

// EnvironmentConfig configures an Environment.
type EnvironmentConfig struct {
	Runners int
	// Slots is the number of adapters that an engine can hold, MaxBatch the number of
	// requests that it runs at a time.
	Slots     int
	MaxBatch  int
	TokenTime time.Duration
	LoadTime  time.Duration
	ReportLag time.Duration
	// ParallelLoads is the number of concurrent loads that the weight store serves at full
	// speed.
	ParallelLoads int
	// Base is the engines' base model.
	Base       string
	DataCentre string
	// Unfenced is the number of runners that don't check fencing tokens.
	Unfenced int
	// Service is the name of the plain service; without a name there is none.
	Service string
}

// Environment is a stand-in platform with runners and a plain service, each with its own
// listener.
type Environment struct {
	Platform    *Platform
	WeightStore *WeightStore
	Engines     []*Engine
	Service     *Service
	Address     string
	servers     []*http.Server
}

// defaultTokens is the length of an engine's answer if the request sets none.
const defaultTokens = 16

// Listen opens the listener of a stand-in, by its name.
type Listen func(name string) (net.Listener, error)

// Loopback listens on a free port of the loopback interface.
func Loopback(string) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// NewEnvironment starts the stand-ins; listen opens one listener for each.
func NewEnvironment(cfg EnvironmentConfig, listen Listen) (*Environment, error) {
	env := &Environment{Platform: NewPlatform(), WeightStore: NewWeightStore(max(1, cfg.ParallelLoads)), Service: NewService()}
	address, err := env.serve("platform", env.Platform, listen)
	if err != nil {
		return nil, err
	}
	env.Address = address
	for i := range cfg.Runners {
		if err := env.addRunner(cfg, i, listen); err != nil {
			return nil, err
		}
	}
	if cfg.Service == "" {
		return env, nil
	}
	address, err = env.serve(cfg.Service, env.Service, listen)
	if err != nil {
		return nil, err
	}
	env.Platform.SetHost(fleet.Host{ID: cfg.Service + "-1", Role: fleet.RoleService, State: fleet.StateLive, DataCentre: cfg.DataCentre, Address: address, Service: cfg.Service})
	return env, nil
}

func (env *Environment) addRunner(cfg EnvironmentConfig, index int, listen Listen) error {
	id := fmt.Sprintf("runner-%d", index+1)
	fenced := index >= cfg.Unfenced
	e := NewEngine(EngineConfig{
		ID: id, Slots: cfg.Slots, MaxBatch: cfg.MaxBatch, TokenTime: cfg.TokenTime, LoadTime: cfg.LoadTime,
		ReportLag: cfg.ReportLag, ChecksFence: fenced, Tokens: defaultTokens, WeightStore: env.WeightStore, FailingModels: map[string]bool{},
	})
	address, err := env.serve(id, e, listen)
	if err != nil {
		return err
	}
	env.Engines = append(env.Engines, e)
	env.Platform.SetHost(fleet.Host{
		ID: id, Role: fleet.RoleRunner, State: fleet.StateLive, DataCentre: cfg.DataCentre,
		Address: address, Base: cfg.Base, ChecksFence: fenced,
	})
	return nil
}

func (env *Environment) serve(name string, handler http.Handler, listen Listen) (string, error) {
	listener, err := listen(name)
	if err != nil {
		return "", errors.Wrap(err, name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	env.servers = append(env.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// AddEntry adds an entry host to the host list.
func (env *Environment) AddEntry(id, dataCentre, peerAddress string) {
	env.Platform.SetHost(fleet.Host{ID: id, Role: fleet.RoleEntry, State: fleet.StateLive, DataCentre: dataCentre, Address: peerAddress})
}

// Engine returns a runner's engine by its identifier, or nil.
func (env *Environment) Engine(id string) *Engine {
	for _, e := range env.Engines {
		if e.cfg.ID == id {
			return e
		}
	}
	return nil
}

// Close stops all servers.
func (env *Environment) Close() {
	for _, server := range env.servers {
		_ = server.Close()
	}
}

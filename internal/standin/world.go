package standin

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/pkg/errors"
)

// EnvironmentConfig sets a small world of stand-ins.
type EnvironmentConfig struct {
	Runners       int
	Slots         int
	MaxBatch      int
	TokenTime     time.Duration
	LoadTime      time.Duration
	ReportLag     time.Duration
	ParallelLoads int
	Base          string
	DataCentre    string
	// Unfenced is the number of runners that ignore fencing numbers.
	Unfenced int
	Service  string
}

// Environment is a platform with runners and a plain service that listen on
// loopback.
type Environment struct {
	Platform    *Platform
	WeightStore *WeightStore
	Engines     []*Engine
	Service     *Service
	Address     string
	servers     []*http.Server
}

// defaultTokens is the length of a stand-in's answer where none is asked for.
const defaultTokens = 16

// Listen opens a listener for a stand-in.
type Listen func(name string) (net.Listener, error)

// Loopback listens on a free port of this machine.
func Loopback(string) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// NewEnvironment starts a world. listen opens one listener for each part.
func NewEnvironment(cfg EnvironmentConfig, listen Listen) (*Environment, error) {
	w := &Environment{Platform: NewPlatform(), WeightStore: NewWeightStore(max(1, cfg.ParallelLoads)), Service: NewService()}
	address, err := w.serve("platform", w.Platform, listen)
	if err != nil {
		return nil, err
	}
	w.Address = address
	for i := range cfg.Runners {
		if err := w.addRunner(cfg, i, listen); err != nil {
			return nil, err
		}
	}
	if cfg.Service == "" {
		return w, nil
	}
	address, err = w.serve(cfg.Service, w.Service, listen)
	if err != nil {
		return nil, err
	}
	w.Platform.SetHost(fleet.Host{ID: cfg.Service + "-1", Role: fleet.RoleService, State: fleet.StateLive, DataCentre: cfg.DataCentre, Address: address, Service: cfg.Service})
	return w, nil
}

func (w *Environment) addRunner(cfg EnvironmentConfig, index int, listen Listen) error {
	id := fmt.Sprintf("runner-%d", index+1)
	fenced := index >= cfg.Unfenced
	e := NewEngine(EngineConfig{
		ID: id, Slots: cfg.Slots, MaxBatch: cfg.MaxBatch, TokenTime: cfg.TokenTime, LoadTime: cfg.LoadTime,
		ReportLag: cfg.ReportLag, ChecksFence: fenced, Tokens: defaultTokens, WeightStore: w.WeightStore, FailingModels: map[string]bool{},
	})
	address, err := w.serve(id, e, listen)
	if err != nil {
		return err
	}
	w.Engines = append(w.Engines, e)
	w.Platform.SetHost(fleet.Host{
		ID: id, Role: fleet.RoleRunner, State: fleet.StateLive, DataCentre: cfg.DataCentre,
		Address: address, Base: cfg.Base, ChecksFence: fenced,
	})
	return nil
}

func (w *Environment) serve(name string, handler http.Handler, listen Listen) (string, error) {
	listener, err := listen(name)
	if err != nil {
		return "", errors.Wrap(err, name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// AddEntry lists an entry host.
func (w *Environment) AddEntry(id, dataCentre, peerAddress string) {
	w.Platform.SetHost(fleet.Host{ID: id, Role: fleet.RoleEntry, State: fleet.StateLive, DataCentre: dataCentre, Address: peerAddress})
}

// Engine gives a runner's engine by its identifier.
func (w *Environment) Engine(id string) *Engine {
	for _, e := range w.Engines {
		if e.cfg.ID == id {
			return e
		}
	}
	return nil
}

// Close ends the world.
func (w *Environment) Close() {
	for _, server := range w.servers {
		_ = server.Close()
	}
}

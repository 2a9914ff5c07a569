// Package site holds what a deployment consists of, as the operators configure
// it and as its runners describe themselves: routes, services, limits, runners
// and versions of adapters. The types are plain values and never change once
// they are shared.
package site

import (
	"strconv"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// Kinds of requests. The zero value is the one that may never run twice.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// String gives the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route tells where requests for a host name and a path go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the time up to the answer (of streams: the first event)
	// within which a request is on time.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events of a stream on time.
	TargetGap time.Duration
	// Priority is the rank among routes; 0 goes first.
	Priority int
	// MaxAttempts is the largest number of runners that one request may reach.
	MaxAttempts int
	// Resumable streams may be continued by another runner.
	Resumable bool
	// Public routes take requests without a key.
	Public  bool
	Targets []Target
}

// MayRepeat says whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// PickService chooses a target by weight; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := draw * float64(total)
	for _, target := range r.Targets {
		left -= float64(target.Weight)
		if left < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of runners that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one runner accepts from
	// all hosts together.
	MaxConnections int
	// Engine is set for services of model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// WeightsMB is a runner's memory for the weights of models and adapters.
	WeightsMB    float64
	AdapterSlots int
	// LoadsPerSecond is the weight store's allowance for base models.
	LoadsPerSecond float64
	Models         []Model
}

// Model is a base model and its adapters, which are named a1, a2 and so on.
type Model struct {
	Name      string
	WeightsMB float64
	LoadTime  time.Duration
	AdapterMB float64
	Adapters  int
}

// Model gives a base model by its name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes int64
}

// Config is a version of the operators' configuration. It is immutable.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// Workspaces is nil where callers need no key.
	Workspaces *Workspaces
	byHost     map[string][]*Route
	routes     int
}

// NewConfig makes a configuration.
func NewConfig(version int64, routes []*Route, services []*Service, limits Limits) *Config {
	config := &Config{
		Version:  version,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		routes:   len(routes),
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		config.byHost[host] = append(config.byHost[host], route)
	}
	for _, service := range services {
		config.Services[service.Name] = service
	}
	return config
}

// Len gives the number of routes.
func (c *Config) Len() int { return c.routes }

// Match finds the route with the longest prefix of the path among those of a
// host name.
func (c *Config) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, route := range c.byHost[strings.ToLower(host)] {
		if !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best == nil || len(route.Prefix) > len(best.Prefix) {
			best = route
		}
	}
	return best, best != nil
}

// Runner is a target as it describes itself. Address stays over restarts and may
// later belong to another runner.
type Runner struct {
	// ID names one lifetime of the runner's process: what is believed of a lifetime
	// is kept under its ID and ends with it.
	ID string
	// Instance is the name under which the runner is listed and that requests and
	// orders carry. A process that starts again may do so under the same one.
	Instance string
	// StartedMS is the start of the process in milliseconds since 1970, 0 where it does
	// not tell.
	StartedMS  int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	// Models are the base models that the runner held when it last described
	// itself.
	Models []string
}

// lifetimeMark stands between an instance and its start.
const lifetimeMark = "~"

// LifetimeID gives the ID of a lifetime. A runner that started again under its
// instance holds and knows nothing of before; kept under the instance alone, the
// adapters, the orders' sequence and the load of the lifetime before would be taken
// for those of the new one.
func LifetimeID(instance string, born int64) string {
	if born == 0 {
		return instance
	}
	return instance + lifetimeMark + strconv.FormatInt(born, 10)
}

// InstanceOf gives the instance of a lifetime by its ID.
func InstanceOf(lifetime string) string {
	instance, _, _ := strings.Cut(lifetime, lifetimeMark)
	return instance
}

// WithStart gives the runner with its start, where its description does not tell it.
func (r *Runner) WithStart(born int64) *Runner {
	aged := *r
	aged.ID = LifetimeID(r.Instance, born)
	aged.StartedMS = born
	return &aged
}

// Holds says whether the runner named the base model.
func (r *Runner) Holds(model string) bool {
	for _, held := range r.Models {
		if held == model {
			return true
		}
	}
	return false
}

// Adapter names an adapter of a base model.
type Adapter struct {
	Model string
	Name  string
}

// String gives the adapter's name in logs and keys.
func (a Adapter) String() string { return a.Model + "/" + a.Name }

// AdapterVersion is the newest version of an adapter that was announced.
type AdapterVersion struct {
	Adapter
	Version int64
}

// ParseAdapter reads what Adapter's String gives.
func ParseAdapter(text string) Adapter {
	model, name, _ := strings.Cut(text, "/")
	return Adapter{Model: model, Name: name}
}

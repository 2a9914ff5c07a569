// Package site defines the data model of a deployment: routes, services, limits, workspaces,
// runners and adapter versions. The types are plain values and are immutable once they are
// shared.
package site

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is the kind of a route's requests. It determines whether a request may run more than
// once.
type Kind uint8

// Kinds of requests. The zero value is the one that must never run twice.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// String returns the name of the kind as it appears in logs.
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

// Target is a service that receives a share of a route's requests, proportional to its weight.
type Target struct {
	Service string
	Weight  int
}

// Route assigns requests for a host name and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time a request may wait.
	Timeout time.Duration
	// TargetLatency is the maximum time to the response (of a stream: to its first event) for a
	// request to count as on time.
	TargetLatency time.Duration
	// TargetGap is the maximum pause between two events for a stream to count as on time.
	TargetGap time.Duration
	// Priority orders routes; lower values are served first.
	Priority int
	// MaxAttempts is the maximum number of runners that one request may reach.
	MaxAttempts int
	// Resumable streams may be continued on another runner.
	Resumable bool
	// Public routes accept requests without a key.
	Public  bool
	Targets []Target
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Key identifies the route across versions of the configuration.
func (r *Route) Key() string { return r.Host + r.Prefix }

// SendsTo reports whether a service is one of the route's targets.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(target Target) bool { return target.Service == service })
}

// PickService selects the service of one of the targets by weight. The draw must be uniform in
// [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * float64(total)
	for _, target := range r.Targets {
		remaining -= float64(target.Weight)
		if remaining < 0 {
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
	// MaxConnections is the maximum number of connections that one runner accepts from all hosts
	// together.
	MaxConnections int
	// HealthPath is the path of a runner's health checks.
	HealthPath string
	// Engine is nil unless the runners of the service are model engines.
	Engine *Engine
}

// defaultHealthPath is the path of health checks unless the configuration gives one.
const defaultHealthPath = "/health"

// HealthCheckPath returns the path of a runner's health checks.
func (s *Service) HealthCheckPath() string { return cmp.Or(s.HealthPath, defaultHealthPath) }

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of request slots of a runner: the requests that it processes at a
	// time.
	Slots int
	// WeightsMB is the memory of a runner for the weights of models and adapters.
	WeightsMB float64
	// AdapterSlots is the maximum number of adapters on a runner.
	AdapterSlots int
	// LoadsPerSecond is the rate of base model loads that the weight store allows.
	LoadsPerSecond float64
	// EventTokens is the number of output tokens in one event of a stream, 0 if unknown.
	EventTokens int
	Models      []Model
}

// Model is a base model. Its adapters are named a1, a2 and so on.
type Model struct {
	Name      string
	WeightsMB float64
	LoadTime  time.Duration
	AdapterMB float64
	Adapters  int
}

// Model returns a base model by name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// Limits bounds what callers may send.
type Limits struct {
	MaxBodyBytes int64
}

// Config is a version of the operators' configuration. It is immutable.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// Workspaces is nil if callers need no key.
	Workspaces *Workspaces
	byHost     map[string][]*Route
	routes     int
}

// NewConfig returns a configuration without workspaces.
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

// OrdersByPriority reports whether requests that compete for capacity are ordered by priority:
// operators ask for it by giving a workspace a priority.
func (c *Config) OrdersByPriority() bool { return c.Workspaces.HavePriorities() }

// LeastTargetGap returns the shortest target gap of the routes to a service, 0 if none has one.
func (c *Config) LeastTargetGap(service string) time.Duration {
	var least time.Duration
	for _, routes := range c.byHost {
		for _, route := range routes {
			if route.TargetGap > 0 && (least == 0 || route.TargetGap < least) && route.SendsTo(service) {
				least = route.TargetGap
			}
		}
	}
	return least
}

// StreamTargets returns the services of each streaming route, by the route's key.
func (c *Config) StreamTargets() map[string][]string {
	targets := map[string][]string{}
	for _, routes := range c.byHost {
		for _, route := range routes {
			if route.Kind != Streaming {
				continue
			}
			for _, target := range route.Targets {
				targets[route.Key()] = append(targets[route.Key()], target.Service)
			}
		}
	}
	return targets
}

// Len returns the number of routes.
func (c *Config) Len() int { return c.routes }

// Match returns the route of a host name with the longest matching path prefix.
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

// Runner is a runner's description of itself. An address outlives restarts and may later belong
// to another runner.
type Runner struct {
	// ID identifies one lifetime of the runner's process, see LifetimeID. State of a lifetime is
	// stored under its ID and dropped at its end.
	ID string
	// Instance is the name under which the runner is listed, and which requests and orders
	// carry. A restarted process may keep it.
	Instance string
	// StartedMS is the start of the process in milliseconds since 1970, or 0 if unknown.
	StartedMS  int64
	Service    string
	Address    string
	DataCentre string
	// SoftwareVersion is the version of the runner's software, "" if it tells none. Versions have
	// no order. It is unrelated to the versions of adapters.
	SoftwareVersion string
	// SoftwareUnknown is set after a restart until the runner's entry tells its software version.
	SoftwareUnknown bool
	Slots           int
	Leaving         bool
	// Models are the base models that were loaded when the runner last described itself.
	Models []string
}

// lifetimeSeparator separates an instance from its start time in the ID of a lifetime.
const lifetimeSeparator = "~"

// LifetimeID returns the ID of a lifetime of an instance. Without the start time, the adapters,
// the sequence numbers of orders and the load of a process that has ended would be attributed to
// the process that restarted under the same instance.
func LifetimeID(instance string, startedMS int64) string {
	if startedMS == 0 {
		return instance
	}
	return instance + lifetimeSeparator + strconv.FormatInt(startedMS, 10)
}

// InstanceOf returns the instance of a lifetime ID.
func InstanceOf(lifetime string) string {
	instance, _, _ := strings.Cut(lifetime, lifetimeSeparator)
	return instance
}

// WithStart returns a copy of the runner with the given start time and the ID that follows from
// it, for runners whose description contains no start time.
func (r *Runner) WithStart(startedMS int64) *Runner {
	updated := *r
	updated.ID = LifetimeID(r.Instance, startedMS)
	updated.StartedMS = startedMS
	return &updated
}

// Holds reports whether the runner listed the base model as loaded.
func (r *Runner) Holds(model string) bool {
	for _, reported := range r.Models {
		if reported == model {
			return true
		}
	}
	return false
}

// Adapter identifies an adapter of a base model.
type Adapter struct {
	Model string
	Name  string
}

// String returns the adapter's name as used in logs and keys.
func (a Adapter) String() string { return a.Model + "/" + a.Name }

// AdapterVersion is the latest announced version of an adapter.
type AdapterVersion struct {
	Adapter
	Version int64
}

// ParseAdapter parses the output of Adapter.String.
func ParseAdapter(text string) Adapter {
	model, name, _ := strings.Cut(text, "/")
	return Adapter{Model: model, Name: name}
}

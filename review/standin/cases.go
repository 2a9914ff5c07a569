package main

import (
	"fmt"
	"sync"
	"time"
)

// Services and routes of the configuration, with the figures of the site's sheet.
const (
	plainService  = "dispatch-api"
	engineService = "mooring-llm"
	callPrefix    = "/"
	planPrefix    = "/plan/"
	maxBodyBytes  = 4 << 20
)

// configure writes the first configuration.
func (d *deployment) configure() {
	d.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "tug-call", "host": routeHost, "pathPrefix": callPrefix, "kind": "non_idempotent", "timeoutMs": 1000,
				"targetLatencyMs": 150, "priority": 0, "service": plainService, "maxAttempts": 1, "sticky": false, "resumable": false,
			},
			map[string]any{
				"name": "berth-plan", "host": routeHost, "pathPrefix": planPrefix, "kind": "streaming", "timeoutMs": 15000,
				"targetLatencyMs": 600, "priority": 0, "service": engineService, "maxAttempts": 1, "sticky": true, "resumable": false, "targetGapMs": 250,
			},
		},
		"services": []any{
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false},
			map[string]any{
				"name": engineService, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kvCapacity": 154016, "stride": 5, "weightsMb": 68000, "adapterSlots": adapterSlots, "loadsPerS": 3.5,
					"models": []any{map[string]any{"name": modelName, "weightsMb": 65500, "loadS": 0.6, "adapters": 3000, "adapterMb": 40}},
				},
			},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// ledger is what the runners ran, by request.
type ledger struct {
	rec *recorder

	mu   sync.Mutex
	runs map[string][]runnerEvent
}

func newLedger(rec *recorder) *ledger { return &ledger{rec: rec, runs: map[string][]runnerEvent{}} }

func (l *ledger) note(event runnerEvent) {
	l.rec.note("runner %s: %s %s %s %s path=%s host=%s bytes=%d events=%d crashing=%t", event.Runner, event.What, event.ID, event.Method, event.Target, event.Path, event.Host, event.Bytes, event.Events, event.Crashing)
	if event.What != "runs" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[event.ID] = append(l.runs[event.ID], event)
}

func (l *ledger) runsOf(id string) []runnerEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]runnerEvent(nil), l.runs[id]...)
}

// startRunners starts runners of one service that behave alike.
func (d *deployment) startRunners(count int, options runnerOptions, onEvent func(runnerEvent)) ([]*runnerProcess, error) {
	var runners []*runnerProcess
	for i := range count {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		options.Instance, options.Address = fmt.Sprintf("i-%s-%d", options.Service, i+1), address
		p, err := d.startRunner(options, onEvent)
		if err != nil {
			return nil, err
		}
		runners = append(runners, p)
	}
	return runners, nil
}

// doubleSlash sends calls whose path begins with two slashes, on a route for all paths. What a runner
// runs must have the path that was sent.
func doubleSlash(d *deployment, disturbed bool) (bool, error) {
	d.configure()
	l := newLedger(d.rec)
	if _, err := d.startRunners(2, runnerOptions{Service: plainService, Work: 30 * time.Millisecond}, l.note); err != nil {
		return false, err
	}
	if err := d.startHosts(2); err != nil {
		return false, err
	}
	path := "/berth-7/tugs"
	if disturbed {
		path = "/" + path
	}
	changed, served := 0, 0
	for i := range 10 {
		c := call{id: fmt.Sprintf("tug-%d", i+1), host: routeHost, path: path, body: []byte("two tugs"), deadline: time.Second}
		got := c.send(d.hosts[i%len(d.hosts)].front())
		d.rec.note("caller: %s, POST %s, Host %s: %s", c.id, c.path, c.host, got)
		if got.status == 200 {
			served++
		}
		for _, run := range l.runsOf(c.id) {
			if run.Path != c.path || run.Target != c.path {
				changed++
			}
		}
	}
	d.rec.note("%d of 10 calls served, %d run with another path than was sent", served, changed)
	if served == 0 {
		return changed > 0, fmt.Errorf("no call was served")
	}
	return changed > 0, nil
}

// Package standin provides small fakes of the project's dependencies: the platform
// (object API, host list, weight store), model engines and plain services, and an
// in-memory network with faults. They are meant for tests and local trials only.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/objectapi"
)

const (
	watchHistory = 4096
	maxWatchWait = time.Minute
)

// Platform is a stand-in for the object API and the host list, with methods that inject
// faults.
type Platform struct {
	mu            sync.Mutex
	version       objectapi.Version
	objects       map[string]objectapi.Object
	events        []objectapi.Event
	changed       chan struct{}
	hosts         fleet.List
	down          bool
	muteWatches   bool
	dropResponses int
	calls         int
	writes        int
	loadRate      float64
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage of the object API.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// MuteWatches makes watches wait until their timeout and return no events.
func (p *Platform) MuteWatches(mute bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muteWatches = mute
}

// DropResponses makes the next n writes take effect but aborts their responses.
func (p *Platform) DropResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropResponses = n
}

// Calls returns the number of calls to the object API and, of these, the writes.
func (p *Platform) Calls() (calls, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.writes
}

// SetHost adds a host to the host list or replaces its entry.
func (p *Platform) SetHost(host fleet.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeHostLocked(host.ID)
	p.hosts.Hosts = append(p.hosts.Hosts, host)
	p.hosts.Version++
}

// RemoveHost removes a host from the host list.
func (p *Platform) RemoveHost(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeHostLocked(id)
	p.hosts.Version++
}

func (p *Platform) removeHostLocked(id string) {
	kept := make([]fleet.Host, 0, len(p.hosts.Hosts))
	for _, host := range p.hosts.Hosts {
		if host.ID != id {
			kept = append(kept, host)
		}
	}
	p.hosts.Hosts = kept
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/hosts" && r.Method == http.MethodPost:
		p.postHost(w, r)
	case r.URL.Path == "/weights/limits":
		p.limits(w)
	case r.URL.Path == "/hosts":
		p.getHosts(w)
	case !p.admit(r):
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case r.URL.Path == "/objects":
		p.list(w, r)
	case r.URL.Path == "/watch":
		p.watch(w, r)
	case strings.HasPrefix(r.URL.Path, "/objects/"):
		p.object(w, r, strings.TrimPrefix(r.URL.Path, "/objects/"))
	default:
		http.NotFound(w, r)
	}
}

// SetLoadRate sets the number of loads per second that the weight store allows.
func (p *Platform) SetLoadRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loadRate = perSecond
}

func (p *Platform) limits(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]float64{"per_second": p.loadRate})
}

func (p *Platform) admit(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if r.Method != http.MethodGet {
		p.writes++
	}
	return !p.down
}

func (p *Platform) postHost(w http.ResponseWriter, r *http.Request) {
	var host fleet.Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil || host.ID == "" {
		http.Error(w, "want a host", http.StatusBadRequest)
		return
	}
	p.SetHost(host)
}

func (p *Platform) getHosts(w http.ResponseWriter) {
	p.mu.Lock()
	list := fleet.List{Version: p.hosts.Version, Hosts: append([]fleet.Host(nil), p.hosts.Hosts...)}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodGet:
		p.get(w, key)
	case http.MethodPut, http.MethodDelete:
		p.write(w, r, key)
	default:
		http.Error(w, "method", http.StatusMethodNotAllowed)
	}
}

func (p *Platform) get(w http.ResponseWriter, key string) {
	p.mu.Lock()
	object, ok := p.objects[key]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(object.Version))
	_, _ = w.Write(object.Value)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, objectapi.MaxValueBytes+1))
	if err != nil || len(value) > objectapi.MaxValueBytes {
		http.Error(w, "value", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.objects[key].Version
	if !conditionHolds(r.Header, current) {
		http.Error(w, "version is "+etag(current), http.StatusPreconditionFailed)
		return
	}
	p.version++
	deleted := r.Method == http.MethodDelete
	if deleted {
		delete(p.objects, key)
	} else {
		p.objects[key] = objectapi.Object{Key: key, Version: p.version, Value: value}
	}
	p.recordLocked(objectapi.Event{Key: key, Version: p.version, Deleted: deleted})
	if p.dropResponses > 0 {
		p.dropResponses--
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(p.version))
}

func (p *Platform) recordLocked(event objectapi.Event) {
	p.events = append(p.events, event)
	if len(p.events) > watchHistory {
		p.events = p.events[len(p.events)-watchHistory:]
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func conditionHolds(header http.Header, current objectapi.Version) bool {
	if header.Get("If-None-Match") == "*" {
		return current == 0
	}
	if match := header.Get("If-Match"); match != "" {
		return match == etag(current)
	}
	return true
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	listing := objectapi.Listing{Version: p.version}
	for key, object := range p.objects {
		if strings.HasPrefix(key, prefix) {
			listing.Items = append(listing.Items, object)
		}
	}
	p.mu.Unlock()
	sort.Slice(listing.Items, func(i, j int) bool { return listing.Items[i].Key < listing.Items[j].Key })
	writeJSON(w, http.StatusOK, listing)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		changes, changed := p.changesAfter(query.Get("prefix"), objectapi.Version(after))
		if len(changes.Events) > 0 || changes.Reset {
			writeJSON(w, http.StatusOK, changes)
			return
		}
		select {
		case <-ctx.Done():
			writeJSON(w, http.StatusOK, changes)
			return
		case <-changed:
		}
	}
}

func (p *Platform) changesAfter(prefix string, after objectapi.Version) (objectapi.Changes, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := objectapi.Changes{Version: p.version}
	if p.muteWatches {
		changes.Version = after
		return changes, p.changed
	}
	if len(p.events) == watchHistory && after < p.events[0].Version {
		changes.Reset = true
		return changes, p.changed
	}
	for _, event := range p.events {
		if event.Version > after && strings.HasPrefix(event.Key, prefix) {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes, p.changed
}

func etag(version objectapi.Version) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

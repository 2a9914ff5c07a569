package rig

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the largest number of objects in a page of a listing.
const pageSize = 500

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// Metadata names an object and its last change.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

type change struct {
	kind     string
	revision uint64
	Removed  bool   `json:"removed"`
	Object   Object `json:"object"`
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]Object
	changes  []change
	changed  chan struct{}
	down     bool
	// watching holds when a host last began to watch a kind, by kind and host.
	watching map[string]map[string]time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{kinds: map[string]map[string]Object{}, changed: make(chan struct{}), watching: map[string]map[string]time.Time{}}
}

// SetDown makes the store answer every call with 503, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// Put writes an object as the operator and the runners do.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, raw)
}

// Remove removes an object as the operator and the runners do.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Watchers returns the hosts that began to watch a kind in the time before now.
func (s *Store) Watchers(kind string, within time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for host, at := range s.watching[kind] {
		if time.Since(at) < within {
			hosts = append(hosts, host)
		}
	}
	sort.Strings(hosts)
	return hosts
}

func (s *Store) set(kind, name string, spec json.RawMessage) Object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	object, known := s.kinds[kind][name]
	if !known {
		object.Metadata = Metadata{Name: name, Created: s.revision}
	}
	object.Metadata.Revision, object.Spec = s.revision, spec
	s.kinds[kind][name] = object
	s.changes = append(s.changes, change{kind: kind, revision: s.revision, Object: object})
	s.notify()
	return object
}

func (s *Store) remove(kind, name string) {
	object, known := s.kinds[kind][name]
	if !known {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.changes = append(s.changes, change{kind: kind, revision: s.revision, Removed: true, Object: object})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// For returns the handler of the calls of one host.
func (s *Store) For(host string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, host) })
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, host string) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/cherrystage/objects/"), "/")
	name = strings.TrimSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind, host)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodDelete:
		s.delete(w, r, kind, name)
	default:
		s.write(w, r, kind, name, named)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	object, known := s.kinds[kind][name]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, object)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	items := []Object{}
	for name, object := range s.kinds[kind] {
		if name > after {
			items = append(items, object)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, host string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer end.Stop()
	s.noteWatch(kind, host)
	over := false
	for {
		s.mu.Lock()
		changed, revision, down := s.changed, s.revision, s.down
		events := []change{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > since {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 || over:
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			over = true
		}
	}
}

func (s *Store) noteWatch(kind, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watching[kind] == nil {
		s.watching[kind] = map[string]time.Time{}
	}
	s.watching[kind][host] = time.Now()
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, named bool) {
	var body Object
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !named {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.kinds[kind][name]
	switch {
	case named && !known:
		w.WriteHeader(http.StatusNotFound)
	case !named && known, named && body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision:
		answer(w, http.StatusConflict, current)
	case named && string(body.Spec) == string(current.Spec):
		answer(w, http.StatusOK, current)
	default:
		answer(w, http.StatusOK, s.set(kind, name, body.Spec))
	}
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.kinds[kind][name]
	switch {
	case !known:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != current.Metadata.Revision:
		answer(w, http.StatusConflict, current)
	default:
		s.remove(kind, name)
		answer(w, http.StatusOK, current)
	}
}

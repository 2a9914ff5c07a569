package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store of objects, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*object
	events   []storeEvent
	changed  chan struct{}
}

type metadata struct {
	Name     string   `json:"name"`
	Revision uint64   `json:"revision"`
	Created  uint64   `json:"created"`
	Finals   []string `json:"finalizers"`
	Pending  bool     `json:"deletionPending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision uint64
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
}

const objectsPath = "/cherrystage/objects/"

// pageSize is the most objects in one answer.
const pageSize = 500

func newStore() *store {
	return &store{kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
}

// put writes an object for the operator or a runner.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, raw)
}

func (s *store) set(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	created := s.revision
	if before := s.kinds[kind][name]; before != nil {
		created = before.Metadata.Created
	}
	written := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: created, Finals: []string{}}, Spec: spec}
	s.kinds[kind][name] = written
	s.publish(storeEvent{kind: kind, revision: s.revision, Object: *written})
	return *written
}

func (s *store) publish(event storeEvent) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && named:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodDelete:
		s.remove(w, r, kind, name)
	default:
		s.write(w, r, kind, named)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.kinds[kind][name]
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	names := []string{}
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := []*object{}
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer end.Stop()
	for ended := false; ; {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []storeEvent{}
		for _, event := range s.events {
			if event.kind == kind && event.revision > since {
				events = append(events, event)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || ended {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			ended = true
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind string, named bool) {
	var body object
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.kinds[kind][body.Metadata.Name]
	switch {
	case named && current == nil:
		w.WriteHeader(http.StatusNotFound)
	case !named && current != nil, named && body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
	default:
		writeJSON(w, http.StatusOK, s.set(kind, body.Metadata.Name, body.Spec))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.kinds[kind][name]
	switch {
	case current == nil:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && revision != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
	default:
		delete(s.kinds[kind], name)
		s.revision++
		s.publish(storeEvent{kind: kind, revision: s.revision, Removed: true, Object: *current})
		w.WriteHeader(http.StatusOK)
	}
}

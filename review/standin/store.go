package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, with the calls of PROTOCOL.md.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []change
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Made       uint64   `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	object   object
	gone     bool
}

func newStore() *store {
	return &store{objects: map[string]map[string]*object{}, changed: make(chan struct{})}
}

// put writes the spec of an object for the operator or a runner, and returns its revision.
func (s *store) put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the stand-ins' own types can be marshalled
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replace(kind, name, raw, nil).Metadata.Revision
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delete(kind, name)
}

// replace makes or replaces an object. The mutex is held.
func (s *store) replace(kind, name string, spec, status json.RawMessage) *object {
	known := s.objects[kind][name]
	if known != nil && string(known.Spec) == string(spec) && string(known.Status) == string(status) {
		return known
	}
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	made := s.revision
	if known != nil {
		made = known.Metadata.Made
	}
	next := &object{Metadata: metadata{Name: name, Revision: s.revision, Made: made, Finalizers: []string{}}, Spec: spec, Status: status}
	s.objects[kind][name] = next
	s.note(change{kind: kind, revision: s.revision, object: *next})
	return next
}

// delete removes an object if there is one. The mutex is held.
func (s *store) delete(kind, name string) bool {
	known := s.objects[kind][name]
	if known == nil {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	s.note(change{kind: kind, revision: s.revision, object: *known, gone: true})
	return true
}

func (s *store) note(each change) {
	s.history = append(s.history, each)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(listener net.Listener) { _ = http.Serve(listener, s) }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire.Objects), "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.objects[kind][name]; known != nil {
		answer(w, http.StatusOK, known)
		return
	}
	answer(w, http.StatusNotFound, struct{}{})
}

// pageSize is the number of entries in one page of a list.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get(wire.After) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	entries := []*object{}
	for _, name := range names[:min(len(names), pageSize)] {
		entries = append(entries, s.objects[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"entries": entries, "more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get(wire.Wait))
	timer := time.NewTimer(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	defer timer.Stop()
	type event struct {
		Object object `json:"object"`
		Gone   bool   `json:"gone"`
	}
	for isLast := false; ; {
		s.mutex.Lock()
		events, at, changed := []event{}, s.revision, s.changed
		for _, each := range s.history {
			if each.kind == kind && each.revision > after {
				events = append(events, event{each.object, each.gone})
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 || isLast {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isLast = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	_ = json.NewDecoder(r.Body).Decode(&sent)
	name, ofStatus := strings.CutSuffix(name, "/status")
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.objects[kind][name]
	expected := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && known != nil, r.Method != http.MethodPost && known != nil && expected != 0 && expected != known.Metadata.Revision:
		answer(w, http.StatusConflict, known)
	case r.Method != http.MethodPost && known == nil:
		answer(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		answer(w, http.StatusOK, known)
	case ofStatus:
		answer(w, http.StatusOK, s.replace(kind, name, known.Spec, sent.Status))
	case known != nil:
		answer(w, http.StatusOK, s.replace(kind, name, sent.Spec, known.Status))
	default:
		answer(w, http.StatusOK, s.replace(kind, name, sent.Spec, nil))
	}
}

package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Made       uint64   `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Gone   bool   `json:"gone"`
	Object object `json:"object"`
	kind   string
	at     time.Time
}

// store is the platform's store. Its history has no end.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	// staleBy returns how old a read is that may be stale; nil means that it isn't.
	staleBy func() time.Duration
	record  *record
}

func startStore() *store {
	return &store{objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// door is the address at which one gateway reaches the store.
type door struct {
	store   *store
	address string
	// turnsAway is set while the store turns the gateway away.
	turnsAway atomic.Bool
	// calls end the calls so far.
	mutex sync.Mutex
	calls []context.CancelFunc
}

// turnAway makes the store turn the gateway away, or serve it again. Its waiting watches are cut.
func (d *door) turnAway(isAway bool) {
	d.turnsAway.Store(isAway)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, each := range d.calls {
		each()
	}
	d.calls = nil
}

func (s *store) openDoor() *door {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &door{store: s, address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, d) }()
	return d
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	d.mutex.Lock()
	d.calls = append(d.calls, cancel)
	d.mutex.Unlock()
	r = r.WithContext(ctx)
	if d.turnsAway.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.store.ServeHTTP(w, r)
}

// put writes an object and returns when the store has taken it.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	must(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name, Finalizers: []string{}}, Spec: raw}, false)
	return time.Now()
}

func (s *store) remove(kind, name string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known, exists := s.objects[kind][name]; exists {
		s.write(kind, known, true)
	}
	return time.Now()
}

// write changes one object. The mutex must be held.
func (s *store) write(kind string, changed object, gone bool) object {
	s.revision++
	known, exists := s.objects[kind][changed.Metadata.Name]
	changed.Metadata.Made = s.revision
	if exists {
		changed.Metadata.Made = known.Metadata.Made
	}
	changed.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][changed.Metadata.Name] = changed
	if gone {
		delete(s.objects[kind], changed.Metadata.Name)
	}
	s.history = append(s.history, event{Gone: gone, Object: changed, kind: kind, at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return changed
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, names["objects"]), "/")
	w.Header().Set("Content-Type", "application/json")
	switch r.Method {
	case http.MethodGet:
		s.read(w, r, kind, name)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name != "" {
		if known, exists := s.objects[kind][name]; exists {
			_ = json.NewEncoder(w).Encode(known)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	objects, at := s.objects[kind], s.revision
	if r.URL.Query().Get("stale") == "1" && s.staleBy != nil {
		age := s.staleBy()
		objects, at = s.asOf(kind, time.Now().Add(-age))
		s.record.say("the store answers a stale read of %s as of %.1f s ago: %d objects, revision %d", kind, age.Seconds(), len(objects), at)
	}
	entries := []object{}
	for _, each := range objects {
		if each.Metadata.Name > r.URL.Query().Get(names["after"]) {
			entries = append(entries, each)
		}
	}
	sort.Slice(entries, func(a, b int) bool { return entries[a].Metadata.Name < entries[b].Metadata.Name })
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": entries, "more": false, "at": at})
}

// asOf returns the objects of a kind, and the revision, as they were at the time. The mutex must be held.
func (s *store) asOf(kind string, when time.Time) (map[string]object, uint64) {
	objects, at := map[string]object{}, uint64(0)
	for _, each := range s.history {
		if each.at.After(when) {
			break
		}
		at = each.Object.Metadata.Revision
		if each.kind != kind {
			continue
		}
		objects[each.Object.Metadata.Name] = each.Object
		if each.Gone {
			delete(objects, each.Object.Metadata.Name)
		}
	}
	return objects, at
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(names["wait"]))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		events, at, changed := []event{}, s.revision, s.changed
		for _, each := range s.history {
			if each.kind == kind && each.Object.Metadata.Revision > after {
				events = append(events, each)
			}
		}
		s.mutex.Unlock()
		isOver := len(events) > 0
		if !isOver {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
		return
	}
}

// change makes, replaces or removes an object of the gateways' own kinds.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	_ = json.NewDecoder(r.Body).Decode(&sent) // a DELETE has no body
	name = strings.TrimSuffix(name, "/status")
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(known)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != known.Metadata.Revision:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(known)
	default:
		sent.Metadata = metadata{Name: name, Finalizers: []string{}}
		_ = json.NewEncoder(w).Encode(s.write(kind, sent, r.Method == http.MethodDelete))
	}
}

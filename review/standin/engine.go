package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model runner that backs up the memory of its runs.
type engine struct {
	id, zone, address string
	world             *world
	behaviour

	mutex sync.Mutex
	// failed holds the shared parts of which one request was answered with a 500 here.
	failed map[string]bool
	// copies holds, by ADDRESS/ID of the run, the number of events that its copy here covers.
	copies map[string]int
	// preempted is how many requests that came from elsewhere have taken the memory of its runs.
	preempted int
	// work holds, by the request's id, when this engine worked on it.
	work map[string]*workTime
}

// behaviour is what all engines of a case have in common.
type behaviour struct {
	// drops is set if they drop a request when its connection closes, as most runners do, and takesCopies if
	// they have room for the copies of others' runs.
	drops, takesCopies bool
	// script says how long the numbered stream is that begins at any engine, and after how many events it
	// hangs; 0 for never.
	script func(stream int) (length, hangAfter int)
}

// workTime is the time in which an engine worked on a request.
type workTime struct {
	continues   bool
	began, last time.Time
	events      int
	isEnded     bool
}

const (
	chatEvents   = 70
	chatEventGap = 60 * time.Millisecond
	hangTime     = 2200 * time.Millisecond
)

// startEngine serves an engine and records it in the store.
func (w *world) startEngine(id string, host int, zone string, common behaviour) (*engine, error) {
	listener, err := w.listen(host)
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, zone: zone, address: listener.Addr().String(), world: w, failed: map[string]bool{}, copies: map[string]int{}, work: map[string]*workTime{},
		behaviour: common,
	}
	server := &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func(listener net.Listener) { _ = server.Serve(listener) }(listener)
	w.mutex.Lock()
	w.engines = append(w.engines, e)
	w.mutex.Unlock()
	w.store.put("servers", id, map[string]any{
		"service": "notes-llm", "address": e.address, "zone": zone, "version": "v1", "slots": 48, "state": "ready", "coldLeftMs": 0,
		"phase": "unified", "modelList": []any{map[string]any{"name": "m", "version": 1, "loras": []any{}}}, "sequence": 1,
	})
	w.record.notef("engine %s serves on %s", id, e.address)
	return e, nil
}

// engineAt returns the engine with the address, or nil.
func (w *world) engineAt(address string) *engine {
	for _, e := range w.engines {
		if e.address == address {
			return e
		}
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	if request.URL.Path == "/healthz" {
		w.Header().Set(wire.InstanceID, e.id)
		return
	}
	id := request.Header.Get(wire.AttemptID)
	w.Header().Set(wire.AttemptID, id)
	if expected := request.Header.Get(wire.ExpectInstance); expected != "" && expected != e.id {
		w.Header().Set(wire.InstanceID, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	backUpTo, from := request.Header.Get(wire.KVBackup), request.Header.Get(wire.KVFrom)
	e.world.record.notef("arrived  %s at %s: Harriernotch-Kv-Backup %q, Kv-From %q, Last-Event-Id %q", id, e.id, backUpTo, from, request.Header.Get("Last-Event-Id"))
	if from != "" && !e.takeCopy(from) {
		e.world.record.notef("refused  %s at %s: it has no copy; not run", id, e.id)
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(wire.Stamp, e.id+"."+id)
	part, _, _ := strings.Cut(request.Header.Get(wire.PromptPrefix), ":")
	if from == "" && e.failsFirst(part) {
		e.world.record.notef("failed   %s at %s with a 500 of its own", id, e.id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	e.run(w, request, id, last, from != "", e.world.engineAt(backUpTo))
}

// setPreempted lets a request from elsewhere take the memory of the engine's runs, or give it back.
func (e *engine) setPreempted(by int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.preempted += by
}

// awaitMemory returns once the engine's runs have their memory, or the request has been dropped.
func (e *engine) awaitMemory(request *http.Request) {
	for {
		e.mutex.Lock()
		has := e.preempted == 0
		e.mutex.Unlock()
		if has || e.drops && request.Context().Err() != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// takeCopy takes the copy of a run's memory; each serves only once.
func (e *engine) takeCopy(handle string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, known := e.copies[handle]
	delete(e.copies, handle)
	return known
}

// failsFirst reports whether the first request with the part is due to fail here.
func (e *engine) failsFirst(part string) bool {
	for _, other := range e.world.engines {
		other.mutex.Lock()
		known := other.failed[part]
		other.mutex.Unlock()
		if known {
			return false
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.failed[part] = true
	return true
}

// run works on a request to its end. When its connection closes, the engine drops it or not.
func (e *engine) run(w http.ResponseWriter, request *http.Request, id string, last int, continues bool, target *engine) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	work := &workTime{continues: continues, began: time.Now(), last: time.Now()}
	e.mutex.Lock()
	e.work[id] = work
	e.mutex.Unlock()
	length, hangAfter := chatEvents, 0
	if !continues {
		length, hangAfter = e.script(int(e.world.streams.Add(1)))
	}
	isConnected := true
	for number := last + 1; number <= length; number++ {
		time.Sleep(chatEventGap)
		if hangAfter > 0 && number == hangAfter+1 {
			e.world.record.notef("hangs    %s at %s, for %v", id, e.id, hangTime)
			time.Sleep(hangTime)
			e.world.record.notef("goes on  %s at %s", id, e.id)
		}
		e.awaitMemory(request)
		if e.drops && request.Context().Err() != nil {
			e.world.record.notef("dropped  %s at %s after %d of %d events: its connection was closed", id, e.id, number-1, length)
			return
		}
		e.mutex.Lock()
		work.last = time.Now()
		work.events++
		e.mutex.Unlock()
		if target != nil && target != e && target.takesCopies {
			target.mutex.Lock()
			target.copies[e.address+"/"+id] = number
			target.mutex.Unlock()
		}
		if !isConnected {
			continue
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s by %s\n\n", number, number, id, e.id)
		if err == nil {
			err = controller.Flush()
		}
		if err != nil {
			isConnected = false
			e.world.record.notef("closed   %s at %s: its connection was closed; it works on", id, e.id)
		}
	}
	e.mutex.Lock()
	work.isEnded = true
	e.mutex.Unlock()
	e.world.record.notef("finished %s at %s, connection open: %v", id, e.id, isConnected)
}

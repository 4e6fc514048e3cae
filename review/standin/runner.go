package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// runner is a stand-in of a runner of a plain service.
type runner struct {
	id, service, zone, address string
	record                     *record
	// work is how long a request takes.
	work time.Duration
	// host is the last part of its IP address.
	host int
	// step is by how much the ids of a stream's events rise; 0 if the runner answers no streams.
	step   int
	server *http.Server

	mutex sync.Mutex
	runs  []run
}

// run is a request that a runner began to work on.
type run struct {
	id, method, target, host, tenant, body string
	at                                     time.Time
}

// startRunner serves a runner of a plain service and records it in the store.
func (w *world) startRunner(id, service string, host int, zone string) (*runner, error) {
	listener, err := w.listen(host)
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: zone, address: listener.Addr().String(), record: w.record, work: 20 * time.Millisecond, host: host}
	r.server = &http.Server{Handler: r, IdleTimeout: 10 * time.Second, ConnState: abruptly}
	go func(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }(r.server, listener)
	w.mutex.Lock()
	w.runners = append(w.runners, r)
	w.mutex.Unlock()
	w.store.put("servers", id, r.entry("ready"))
	w.record.notef("runner %s of %s serves on %s", id, service, r.address)
	return r, nil
}

// heartbeat is the time between two writes of a runner.
const heartbeat = 1200 * time.Millisecond

// abruptly makes a connection reset when it is closed with a request under way, as when a runner crashes.
func abruptly(connection net.Conn, state http.ConnState) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		_ = tcp.SetLinger(0)
	case http.StateIdle:
		_ = tcp.SetLinger(-1)
	}
}

// crash ends the runner: its connections are reset, and its address takes no more of them.
func (r *runner) crash() {
	r.record.notef("runner %s crashes", r.id)
	_ = r.server.Close()
}

// allRunners returns the runners so far.
func (w *world) allRunners() []*runner {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.runners)
}

// entry is what the runner records in the store.
func (r *runner) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0, "sequence": 1,
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	if request.RequestURI == "/healthz" {
		w.Header().Set(wire.InstanceID, r.id)
		return
	}
	id := request.Header.Get(wire.AttemptID)
	w.Header().Set(wire.AttemptID, id)
	if expected := request.Header.Get(wire.ExpectInstance); expected != "" && expected != r.id {
		w.Header().Set(wire.InstanceID, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	each := run{
		id: id, method: request.Method, target: request.RequestURI, host: request.Host, tenant: request.Header.Get(wire.Tenant),
		body: string(body), at: time.Now(),
	}
	r.mutex.Lock()
	r.runs = append(r.runs, each)
	r.mutex.Unlock()
	r.record.notef("ran      %s at %s: %s %s, host %s, path %s, tenant %q, body %q", id, r.id, each.method, each.target, each.host, request.URL.Path, each.tenant, each.body)
	w.Header().Set(wire.Stamp, fmt.Sprintf("%s.%s", r.id, id))
	if r.step > 0 {
		r.serveStream(w, request, id)
		return
	}
	time.Sleep(r.work)
	_, _ = fmt.Fprintf(w, "done %s at %s\n", id, r.id)
}

// runsOf returns the runs of all runners by the request's id.
func (w *world) runsOf() map[string][]run {
	all := map[string][]run{}
	for _, r := range w.allRunners() {
		r.mutex.Lock()
		for _, each := range r.runs {
			all[each.id] = append(all[each.id], each)
		}
		r.mutex.Unlock()
	}
	return all
}

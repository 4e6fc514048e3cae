// Package standin provides small stand-ins for external systems: the platform's object API and
// machine list, a model engine and a plain service. The demo and the tests use them, and the
// platform's stand-in can simulate failures.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/objectstore"
)

// PlatformFaults are the faults that the stand-in platform simulates.
type PlatformFaults struct {
	// Down makes every call fail.
	Down bool
	// Delay delays every call.
	Delay time.Duration
	// LoseAnswers is the number of upcoming writes that take effect but whose answers are lost.
	LoseAnswers int
	// MachineLag is the delay until readers see a new machine list.
	MachineLag time.Duration
}

// Platform is an in-memory object API and machine list.
type Platform struct {
	mutex    sync.Mutex
	objects  map[string]objectstore.Object
	changed  chan struct{}
	version  uint64
	faults   PlatformFaults
	calls    int
	machines []machineState
}

// machineState is a machine list that was set at a point in time.
type machineState struct {
	at   time.Time
	list []coordination.Machine
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{objects: map[string]objectstore.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
}

// Calls returns the number of calls so far; a waiting watch counts as one.
func (p *Platform) Calls() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

// SetMachines replaces the machine list. Readers see the new one after MachineLag.
func (p *Platform) SetMachines(list []coordination.Machine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machines = append(p.machines, machineState{at: time.Now(), list: list})
}

// enter counts a call and applies the faults that occur before the call takes effect.
func (p *Platform) enter(ctx context.Context) error {
	p.mutex.Lock()
	p.calls++
	faults := p.faults
	p.mutex.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return failure.Wrap(failure.PlatformUnavailable, ctx.Err(), "the platform is slow")
		}
	}
	if faults.Down {
		return failure.New(failure.PlatformUnavailable, "the platform is down")
	}
	return nil
}

// Get implements objectstore.Objects.
func (p *Platform) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := p.enter(ctx); err != nil {
		return objectstore.Object{}, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.objects[key], nil
}

// Watch implements objectstore.Objects.
func (p *Platform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (objectstore.Object, error) {
	if err := p.enter(ctx); err != nil {
		return objectstore.Object{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mutex.Lock()
		object, changed, down := p.objects[key], p.changed, p.faults.Down
		p.mutex.Unlock()
		if down {
			return objectstore.Object{}, failure.New(failure.PlatformUnavailable, "the platform went down")
		}
		if object.Version != after {
			return object, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return object, nil
		case <-ctx.Done():
			return objectstore.Object{}, failure.Wrap(failure.PlatformUnavailable, ctx.Err(), "the watch was canceled")
		}
	}
}

// Put implements objectstore.Objects.
func (p *Platform) Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	if len(value) > objectstore.MaxValueSize {
		return 0, failure.New(failure.TooLarge, "the value is over 1 MiB")
	}
	if err := p.enter(ctx); err != nil {
		return 0, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.objects[key].Version != expected {
		return 0, failure.New(failure.Conflict, "the version differs")
	}
	p.version++
	p.objects[key] = objectstore.Object{Value: append([]byte(nil), value...), Version: p.version}
	close(p.changed)
	p.changed = make(chan struct{})
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return 0, failure.New(failure.PlatformUnavailable, "the answer was lost")
	}
	return p.version, nil
}

// Machines implements objectstore.MachineList.
func (p *Platform) Machines(ctx context.Context) ([]coordination.Machine, error) {
	if err := p.enter(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var seen []coordination.Machine
	for _, state := range p.machines {
		if time.Since(state.at) >= p.faults.MachineLag {
			seen = state.list
		}
	}
	return seen, nil
}

// Handler serves the HTTP API that objectstore.HTTPClient uses.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/", p.serveGet)
	mux.HandleFunc("PUT /store/", p.servePut)
	mux.HandleFunc("GET /machines", p.serveMachines)
	return mux
}

func objectKey(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/store/") }

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var object objectstore.Object
	var err error
	if query.Has("after") {
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		seconds, _ := strconv.ParseFloat(query.Get("wait"), 64)
		object, err = p.Watch(r.Context(), objectKey(r), after, time.Duration(seconds*float64(time.Second)))
	} else {
		object, err = p.Get(r.Context(), objectKey(r))
	}
	if err != nil {
		failure.WriteHTTP(w, err)
		return
	}
	if object.Version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.FormatUint(object.Version, 10))
	_, _ = w.Write(object.Value)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	expected, _ := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueSize+1))
	if err != nil {
		return
	}
	version, err := p.Put(r.Context(), objectKey(r), value, expected)
	if failure.KindOf(err) == failure.Conflict && err != nil {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if err != nil {
		failure.WriteHTTP(w, err)
		return
	}
	w.Header().Set("ETag", strconv.FormatUint(version, 10))
}

func (p *Platform) serveMachines(w http.ResponseWriter, r *http.Request) {
	machines, err := p.Machines(r.Context())
	if err != nil {
		failure.WriteHTTP(w, err)
		return
	}
	entries := make([]objectstore.MachineEntry, len(machines))
	for i, machine := range machines {
		role := "agent"
		if machine.Role == membership.RoleRouter {
			role = "router"
		}
		entries[i] = objectstore.MachineEntry{ID: machine.ID, Role: role, Address: machine.Address, Zone: machine.Zone, Leaving: machine.Leaving}
	}
	_ = json.NewEncoder(w).Encode(entries)
}

package demo

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// gatewayConfiguration routes chats to the engines and records to the plain service.
func gatewayConfiguration() catalog.Configuration {
	route := func(prefix, service string) catalog.Route {
		return catalog.Route{
			Name: service, Host: GatewayHost, Prefix: prefix, Targets: []catalog.Target{{Service: service, Weight: 1}},
			MaxAttempts: 3, Timeout: callerTimeout, Objective: time.Second, PauseObjective: time.Second,
		}
	}
	chat, records := route(ChatPrefix, chatService), route(RecordsPrefix, recordsService)
	chat.Stream, chat.Resumable = true, true
	records.Repeatable = true
	return catalog.Configuration{
		Version:  1,
		Routes:   []catalog.Route{chat, records},
		Services: []catalog.Service{{Name: chatService, MaxConnections: 100}, {Name: recordsService, MaxConnections: 100}},
		Tenants:  []catalog.Tenant{{Name: Tenant, Keys: []string{GatewayKey}}},
		Limits:   catalog.Limits{MaxBodyBytes: 1 << 20},
	}
}

// fixedStore is a stand-in for the platform's store that ignores the gateways' writes
// and never reports a change.
type fixedStore struct {
	protocol      wire.Protocol
	configuration catalog.Configuration

	mutex    sync.Mutex
	backEnds []catalog.BackEnd
}

func (s *fixedStore) add(backEnd catalog.BackEnd) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.backEnds = append(s.backEnds, backEnd)
}

// ServeHTTP implements http.Handler.
func (s *fixedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, writes := s.protocol.ReadStoreWrite(r); writes {
		return // the write is acknowledged and ignored
	}
	call := s.protocol.ReadStoreCall(r)
	if call.Watch {
		select {
		case <-time.After(call.Wait):
		case <-r.Context().Done():
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := wire.StoreAnswer[any]{Watch: call.Watch, Revision: 1}
	switch {
	case call.Watch:
	case call.Kind == wire.Configurations:
		answer.Entries = []wire.StoreEntry[any]{{Name: "main", Revision: 1, Value: s.configuration}}
	case call.Kind == wire.BackEnds:
		for _, each := range s.backEnds {
			answer.Entries = append(answer.Entries, wire.StoreEntry[any]{Name: each.ID, Revision: 1, Value: each})
		}
	}
	s.protocol.WriteList(w, answer)
}

// startStandIn starts a stand-in for a back end and lists it in the store.
func (g *Gateways) startStandIn(store *fixedStore, name, service string, answer func(w http.ResponseWriter, r *http.Request, name string, forwarded wire.Forwarded)) error {
	address, err := g.serve(name, anyPort, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		forwarded := g.protocol.ReadForward(r.Header)
		if forwarded.BackEnd != name {
			g.protocol.WriteNotRun(w.Header(), forwarded.Request)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		g.protocol.WriteStamp(w.Header(), forwarded.Request, name)
		answer(w, r, name, forwarded)
	}))
	if err != nil {
		return err
	}
	const slots = 8
	store.add(catalog.BackEnd{ID: name, Service: service, Address: address, Zone: "demo", Slots: slots})
	return nil
}

// chat streams an answer that names its engine, starting after the last event that the caller has
// received.
func (g *Gateways) chat(w http.ResponseWriter, r *http.Request, name string, forwarded wire.Forwarded) {
	w.Header().Set("Content-Type", "text/event-stream")
	words := []string{"this", "answer", "comes", "from", name, "for", forwarded.Tenant, "."}
	first := 0
	if _, err := fmt.Sscan(forwarded.ResumeAfter, &first); err != nil {
		first = 0 // the caller has received no event yet
	}
	controller := http.NewResponseController(w)
	for i := first; i < len(words); i++ {
		time.Sleep(tokenPause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, words[i]); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
}

// record answers a plain request.
func (g *Gateways) record(w http.ResponseWriter, r *http.Request, name string, forwarded wire.Forwarded) {
	_, _ = fmt.Fprintf(w, "%s of %s, from %s\n", r.URL.Path, forwarded.Tenant, name)
}

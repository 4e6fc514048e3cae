package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["rising-ids"] = risingIDs }

const (
	// events is the number of events of a stream, and eventGap the time between two of them.
	events   = 12
	eventGap = 20 * time.Millisecond
	// tokensPerEvent is the number of tokens in one event, as on the site swancoast-loans.
	tokensPerEvent = 9
)

// streamRoute returns a streaming route to the model service that may not be resumed.
func streamRoute() map[string]any {
	return map[string]any{
		"name": "hardship-review", "hostname": "loans.example", wire.PathPrefix: "/reviews/", wire.RouteType: "streaming", "timeoutMs": 10000, wire.Objective: 600,
		wire.PauseObjective: 300, "priority": 1, "service": "model-pool", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false,
	}
}

// risingIDs replaces two of the six runners of a service by those of a new software version, which number the
// events of a stream by their tokens: 9, 18, 27 and so on. The streams must go on to reach their clients.
func risingIDs(w *world) (broken bool, err error) {
	storeAddress, err := w.startStore()
	if err != nil {
		return false, err
	}
	for i := range 6 {
		r, err := w.startRunner(fmt.Sprintf("i-1a%02x", i), "model-pool", 100+i, zones[i%len(zones)])
		if err != nil {
			return false, err
		}
		r.step = 1
	}
	if _, err := w.startRunner("i-7f3a91c2", "loans-app", 10, zones[3]); err != nil {
		return false, err
	}
	tenant := map[string]any{"name": "swan-coast", wire.APIKeys: []any{tenantKey}, "priority": 1}
	routes := []any{streamRoute(), route("balance-lookup", "/balances/", "idempotent", 2)}
	w.store.put("config", "main", configuration(7, routes, []any{tenant}))
	if err := w.startGateways(3, storeAddress); err != nil {
		return false, err
	}
	time.Sleep(contact)
	for _, each := range w.readStreams("before") {
		if !each.whole {
			return false, fmt.Errorf("a stream wasn't whole before the disruption: %v", each.err)
		}
	}
	if w.trouble {
		if err := w.release(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact)
	cut := 0
	for _, each := range w.readStreams("after") {
		if each.cutBySystem {
			cut++
		}
	}
	w.record.notef("requests from kept connections whose connection was closed without a complete answer, while their runner was sound: %d; more than 3 break the rule", cut)
	return cut > 3, nil
}

// released is the number of runners that are replaced: a share of 0.33.
const released = 2

// release replaces runners one after the other: the new one starts first, and the old one drains.
func (w *world) release() error {
	for i, old := range w.allRunners()[:released] {
		next, err := w.startRunner(fmt.Sprintf("i-2b%02x", i), old.service, 120+i, old.zone)
		if err != nil {
			return err
		}
		next.step = tokensPerEvent
		entry := next.entry("ready")
		entry["version"] = "v2"
		w.store.put("servers", next.id, entry)
		time.Sleep(time.Second)
		w.record.notef("runner %s drains", old.id)
		w.store.put("servers", old.id, old.entry("draining"))
		time.AfterFunc(2500*time.Millisecond, func() { w.store.remove("servers", old.id); _ = old.server.Close() })
	}
	return nil
}

// streamed is what a client saw of a stream.
type streamed struct {
	whole bool
	// cutBySystem is set if the gateway ended the connection without a complete answer.
	cutBySystem bool
	err         error
}

// readStreams opens eight connections to each gateway, and on each of them gets a balance and then reads
// a stream: the stream's request comes from a kept connection.
func (w *world) readStreams(when string) []streamed {
	var all []streamed
	var mutex sync.Mutex
	var clients sync.WaitGroup
	for _, g := range w.gateways {
		for range 8 {
			clients.Go(func() {
				result := w.readStream(g, when)
				mutex.Lock()
				defer mutex.Unlock()
				all = append(all, result)
			})
		}
	}
	clients.Wait()
	return all
}

// readStream gets a balance and reads a stream on the same connection.
func (w *world) readStream(g *gatewayProcess, when string) streamed {
	connection, err := net.DialTimeout("tcp4", g.frontend, time.Second)
	if err != nil {
		return streamed{err: err}
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(12 * time.Second))
	reader := bufio.NewReader(connection)
	first := fmt.Sprintf("GET /balances/17 HTTP/1.1\r\nHost: loans.example\r\nHarriernotch-Attempt-Id: %s\r\nHarriernotch-Deadline-Ms: 3000\r\nX-Api-Key: %s\r\n\r\n", newID(), tenantKey)
	if _, err := io.WriteString(connection, first); err != nil {
		return streamed{err: err}
	}
	balance, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return streamed{err: err}
	}
	if _, err := io.ReadAll(balance.Body); err != nil || balance.StatusCode != http.StatusOK || balance.Close {
		return streamed{err: fmt.Errorf("no balance on a connection that is kept: status %d, %v", balance.StatusCode, err)}
	}
	id := newID()
	body := "review the application " + id
	w.record.notef("sent     %s to %s (%s the release), on a kept connection: POST /reviews/new", id, g.name, when)
	_, err = fmt.Fprintf(connection, "POST /reviews/new HTTP/1.1\r\nHost: loans.example\r\nHarriernotch-Attempt-Id: %s\r\nHarriernotch-Deadline-Ms: 10000\r\nX-Api-Key: %s\r\n"+
		"Harriernotch-Model: m\r\nHarriernotch-Token-Count: 60,108\r\nHarriernotch-Prompt-Prefix: %s:40,%s:20\r\nContent-Length: %d\r\n\r\n%s", id, tenantKey, newID(), id, len(body), body)
	if err != nil {
		return streamed{err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		w.record.notef("answered %s: nothing, %v", id, err)
		return streamed{cutBySystem: true, err: err}
	}
	raw, err := io.ReadAll(response.Body)
	got := strings.Count(string(raw), "data:")
	w.record.notef("answered %s: status %d, %d of %d events, error %v", id, response.StatusCode, got, events, err)
	return streamed{whole: err == nil && response.StatusCode == http.StatusOK && got == events, cutBySystem: err != nil, err: err}
}

// serveStream sends a stream of events whose ids rise by the runner's step.
func (r *runner) serveStream(w http.ResponseWriter, request *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for number := 1; number <= events; number++ {
		select {
		case <-time.After(eventGap):
		case <-request.Context().Done():
			r.record.notef("left     %s at %s: its connection was closed after %d events", id, r.id, number-1)
			return
		}
		if _, err := io.WriteString(w, "id: "+strconv.Itoa(number*r.step)+"\ndata: piece "+strconv.Itoa(number)+" of "+id+"\n\n"); err != nil {
			r.record.notef("left     %s at %s: its connection was closed after %d events", id, r.id, number-1)
			return
		}
		_ = controller.Flush()
	}
	r.record.notef("finished %s at %s: all %d events", id, r.id, events)
}

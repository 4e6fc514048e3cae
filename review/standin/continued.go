package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["continued"] = continued }

// stillAt is how long after a request continues at another runner the previous one may still work on it.
const stillAt = 400 * time.Millisecond

// continued lets one engine of eight hang for 2.2 s in the middle of one of its five
// requests, on a route whose requests may run only once. A run that continues at another engine must not be
// worked on by the first one 400 ms later.
func continued(w *world) (broken bool, err error) {
	common := behaviour{takesCopies: true, script: func(stream int) (length, hangAfter int) {
		switch {
		case stream <= shortDrafts:
			return shortDraftEvents, 0
		case stream == shortDrafts+1 && w.trouble:
			return chatEvents, 10
		default:
			return chatEvents, 0
		}
	}}
	if err := w.startBeanline(common); err != nil {
		return false, err
	}
	time.Sleep(contact)
	// The first request is answered with a 500 of the engine's own. Of the streams after it the last one hangs.
	for range 1 + shortDrafts + 1 {
		d := w.connect(w.gateways[0])
		d.draft("5c1e07a2")
		d.close()
	}
	time.Sleep(3 * time.Second)
	return w.judgeContinued(), nil
}

const (
	// The first shortDrafts streams are short.
	shortDrafts      = 3
	shortDraftEvents = 5
	// engineCount is the number of engines.
	engineCount = 8
)

// startBeanline starts the store, engines and three gateways with figures of the site beanline-tw.
func (w *world) startBeanline(common behaviour) error {
	zones, bounds["retryExtra"] = []string{"taoyuan-a", "taoyuan-b", "neihu-dc", "xinzhuang-pk"}, 54
	storeAddress, err := w.startStore()
	if err != nil {
		return err
	}
	for i := range engineCount {
		if _, err := w.startEngine(fmt.Sprintf("i-3c%02x", i), 100+i, zones[i%len(zones)], common); err != nil {
			return err
		}
	}
	tenant := map[string]any{"name": "roast-floor", wire.APIKeys: []any{tenantKey}, "priority": 1}
	w.store.put("config", "main", map[string]any{
		"version": 7, "tenants": []any{tenant},
		"routes": []any{map[string]any{
			"name": "batch-notes", "hostname": "beans.example", wire.PathPrefix: "/notes/", wire.RouteType: "streaming", "timeoutMs": 12000, wire.Objective: 600,
			wire.PauseObjective: 300, "priority": 1, "service": "notes-llm", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "notes-llm", "healthPath": "/healthz", "maxConns": 300, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 48, "kvCapacity": 713635, "kvBytes": 35136, "linkMbps": 1100000.0, "migrations": true, "replicas": true, "interval": 7, "most": 2,
			"pinMs": 4000.0, "holdMs": 2000.0, "sessionTtlS": 5.0, "modelList": []any{map[string]any{"name": "m"}},
		}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return w.startGateways(3, storeAddress)
}

// drafter is a client on a connection that it keeps.
type drafter struct {
	world      *world
	gateway    *gatewayProcess
	connection net.Conn
	reader     *bufio.Reader
	// part is the shared part of the client's prompts.
	part string
	// answered counts the requests on the connection that were answered whole.
	answered int
}

// connect opens a client's connection to a gateway.
func (w *world) connect(g *gatewayProcess) *drafter {
	d := &drafter{world: w, gateway: g}
	connection, err := net.DialTimeout("tcp4", g.frontend, time.Second)
	if err != nil {
		w.record.notef("no connection to %s: %v", g.name, err)
		return d
	}
	d.connection, d.reader = connection, bufio.NewReader(connection)
	return d
}

func (d *drafter) close() {
	if d.connection != nil {
		_ = d.connection.Close()
	}
}

// patience is the gap between two events after which the client gives up: four times the objective of
// 600 ms, and eight times the longest pause of 300 ms.
const patience = 2400 * time.Millisecond

// errGaveUp means that the client gave up.
var errGaveUp = errors.New("the client gave up")

// draft asks for a draft and reads its stream.
func (d *drafter) draft(part string) (status int, err error) {
	w, id := d.world, newID()
	if d.connection == nil {
		return 0, errors.New("no connection")
	}
	body := "draft the notes of " + id
	w.record.notef("sent     %s to %s: POST /notes/new, part %s, after %d whole answers on the connection", id, d.gateway.name, part, d.answered)
	_, _ = fmt.Fprintf(d.connection, "POST /notes/new HTTP/1.1\r\nHost: beans.example\r\nHarriernotch-Attempt-Id: %s\r\nHarriernotch-Deadline-Ms: 12000\r\nX-Api-Key: %s\r\n"+
		"Harriernotch-Model: m\r\nHarriernotch-Token-Count: 2000,1000\r\nHarriernotch-Prompt-Prefix: %s:1500,%s:500\r\nContent-Length: %d\r\n\r\n%s", id, tenantKey, part, id, len(body), body)
	_ = d.connection.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(d.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		w.record.notef("answered %s: nothing, %v", id, err)
		return 0, err
	}
	var text strings.Builder
	buffer := make([]byte, 4096)
	for err == nil {
		var count int
		_ = d.connection.SetReadDeadline(time.Now().Add(patience))
		count, err = response.Body.Read(buffer)
		text.Write(buffer[:count])
	}
	switch {
	case err == io.EOF:
		err = nil
		d.answered++
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errGaveUp
	}
	w.record.notef("answered %s: status %d, %d events, error %v", id, response.StatusCode, strings.Count(text.String(), "data:"), err)
	return response.StatusCode, err
}

// judgeContinued compares the times in which engines worked on the same request.
func (w *world) judgeContinued() (broken bool) {
	for _, e := range w.engines {
		for id, next := range e.work {
			if !next.continues {
				continue
			}
			for _, source := range w.engines {
				before := source.work[id]
				if source == e || before == nil {
					continue
				}
				after := before.last.Sub(next.began)
				w.record.notef("%s continued at %s; %s still worked on it %.3f s after that", id, e.id, source.id, after.Seconds())
				if after > stillAt {
					w.record.notef("broken: %s runs at %s and %s at once (TWICE)", id, source.id, e.id)
					broken = true
				}
			}
		}
	}
	return broken
}

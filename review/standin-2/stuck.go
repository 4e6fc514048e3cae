package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	stuckRequests = 24        // as many as the slots of the service
	stuckAnswer   = 1_000_000 // bytes
	grace         = 8 * time.Second
)

// playStuck: a gateway is told to stop while it reads large answers.
func playStuck(dir string, trouble bool) {
	w := newWorld(dir)
	e := newEngines()
	for i := range 4 {
		r := &runner{id: fmt.Sprintf("i-plain-%d", i+1), service: plain1, slots: 6, engines: e, record: w.record}
		r.planOf = func(*http.Request) plan { return plan{pause: 60 * time.Millisecond, size: stuckAnswer} }
		r.start()
		w.store.put("servers", r.id, r.serverEntry("ready"))
	}
	w.store.put("config", "main", configuration(7, route("letters", "/letters/", "non_idempotent", plain1, 10000, 600, 1, false)))
	w.startGateways(2)
	time.Sleep(4 * time.Second) // contactMs have passed since the start
	c := newClient(w, true)
	var requests sync.WaitGroup
	count := stuckRequests
	if os.Getenv("FEW") != "" { // to see what the number of answers changes
		count = 10
	}
	for i := range count {
		requests.Add(1)
		go func() {
			defer requests.Done()
			c.send(w.gateways[0], http.MethodPost, host, fmt.Sprintf("/letters/%d", i), key, "letter", 10*time.Second, nil)
		}()
	}
	time.Sleep(time.Second)
	told := time.Now()
	if trouble {
		w.record.say("gateway %s gets SIGTERM", w.gateways[0].name)
		_ = w.gateways[0].process.Process.Signal(syscall.SIGTERM)
	}
	requests.Wait()
	var broken []string
	byRequest, cut, failed := e.byRequest(), 0, 0
	for _, each := range c.all {
		runs := byRequest[each.id]
		switch {
		case len(runs) == 0 || each.isWhole && each.status == http.StatusOK:
			continue
		case each.isWhole:
			failed++
			continue
		}
		cut++
		isExcused := runs[0].outcome != "whole" || runs[0].ended.After(told.Add(grace*5/6)) || each.endedAt.Sub(each.at) >= 10*time.Second
		if trouble && !isExcused {
			broken = append(broken, fmt.Sprintf("LOST: %s was run by %s, whose whole answer was sent %d ms after the request; its connection ends %d ms after SIGTERM without an answer (%s)", each.id, runs[0].runner, runs[0].ended.Sub(each.at).Milliseconds(), each.endedAt.Sub(told).Milliseconds(), each.failure))
		}
	}
	w.record.say("of %d requests, %d got no answer or a part, %d a failure of the gateway's own", len(c.all), cut, failed)
	w.finish(broken)
}

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playUnread: a gateway is told to stop while runners that have begun their answers read the bodies of their requests late.
func playUnread(dir string, trouble bool) {
	w := newWorld(dir)
	e := newEngines()
	for i := range 2 {
		r := &runner{id: fmt.Sprintf("i-engine-%d", i+1), service: engines1, slots: 64, window: 16 << 10, engines: e, record: w.record}
		r.planOf = func(*http.Request) plan {
			p := plan{events: 42, pause: 100 * time.Millisecond, headFirst: true, readPause: 3 * time.Second}
			if os.Getenv("EARLY") != "" { // to see what the late read changes
				p.readPause = 0
			}
			return p
		}
		r.start()
		w.store.put("servers", r.id, r.serverEntry("ready"))
	}
	w.store.put("config", "main", configuration(7, route("review", "/review/", "streaming", engines1, 10000, 600, 1, false)))
	w.startGateways(2)
	time.Sleep(4 * time.Second) // contactMs have passed since the start
	c := newClient(w, true)
	var requests sync.WaitGroup
	for i := range 20 {
		size := 140_000 // the largest body of the site's hardship-review
		if i%2 == 1 {
			size = 1_000
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			c.send(w.gateways[0], http.MethodPost, host, fmt.Sprintf("/review/%d", size), key, strings.Repeat("x", size), 10*time.Second, map[string]string{
				headerModel: "m", headerTokens: "11812,378", headerPrompt: "5c1e07a2:512,91bd3f06:10000,SELF:1300",
			})
		}()
	}
	time.Sleep(500 * time.Millisecond)
	told := time.Now()
	if trouble {
		w.record.say("gateway %s gets SIGTERM", w.gateways[0].name)
		_ = w.gateways[0].process.Process.Signal(syscall.SIGTERM)
	}
	requests.Wait()
	var broken []string
	byRequest, cut := e.byRequest(), 0
	for _, each := range c.all {
		runs := byRequest[each.id]
		if each.isWhole || len(runs) == 0 {
			continue
		}
		cut++
		if trouble {
			broken = append(broken, fmt.Sprintf("LOST: %s was passed on to %s, and its connection ends %d ms after SIGTERM with %d of 42 events (%s); its runner was not at fault (%s)", each.id, runs[0].runner, each.endedAt.Sub(told).Milliseconds(), each.events, each.failure, runs[0].outcome))
		}
	}
	w.record.say("%d answers of %d were cut", cut, len(c.all))
	w.finish(broken)
}

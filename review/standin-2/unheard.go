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
	applyBound   = 2 * time.Second // configApplyMs
	stretchBound = 5 * time.Second // maxStretchMs
	seedLag      = 3 * time.Second // seedLagS
	awayTime     = 9 * time.Second
	secondKey    = "anfqasnmgkcuyj8pjbvk"
)

// playUnheard: the store turns a machine away that was added with stale seeds and whose settings file has changed since.
func playUnheard(dir string, trouble bool) {
	w := newWorld(dir)
	e := newEngines()
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-plain-%d", i+1), service: plain1, slots: 6, engines: e, record: w.record}
		r.planOf = func(*http.Request) plan { return plan{pause: 60 * time.Millisecond} }
		r.start()
		w.store.put("servers", r.id, r.serverEntry("ready"))
	}
	plan := route("plan", "/plan/", "non_idempotent", plain1, 1500, 300, 1, false)
	w.store.put("config", "main", withKey(configuration(7, plan), secondKey))
	w.startGateways(5)
	time.Sleep(2 * time.Second)
	var stale, fresh []any
	for i, each := range w.gateways {
		if i >= 3 {
			fresh = append(fresh, each.peers)
			continue
		}
		stale = append(stale, each.peers)
		w.record.say("%s gets SIGTERM and leaves", each.name)
		_ = each.process.Process.Signal(syscall.SIGTERM)
		<-each.ended
	}
	added := w.newGateway()
	w.writeSettings(added, stale, false)
	w.start(added)
	w.awaitReady(added, 15*time.Second)
	time.Sleep(seedLag)
	w.writeSettings(added, append(fresh, added.peers), false)
	w.record.say("the settings file of %s names seeds that run", added.name)
	if os.Getenv("HUP") != "" { // to see what the signal changes
		w.record.say("%s gets SIGHUP", added.name)
		_ = added.process.Process.Signal(syscall.SIGHUP)
	}
	time.Sleep(8 * time.Second)

	c := newClient(w, false)
	if trouble {
		added.door.turnAway(true)
		w.record.say("the store turns %s away", added.name)
	}
	time.Sleep(500 * time.Millisecond)
	dropped := w.store.put("config", "main", configuration(8, plan))
	w.record.say("version 8 is acknowledged: the key %s is dropped", secondKey)
	var requests sync.WaitGroup
	for time.Since(dropped) < awayTime-600*time.Millisecond {
		for _, each := range w.gateways[3:] {
			requests.Add(1)
			go func() {
				defer requests.Done()
				c.send(each, http.MethodPost, host, "/plan/2f", secondKey, "plan", 3*time.Second, nil)
			}()
		}
		time.Sleep(100 * time.Millisecond)
	}
	requests.Wait()
	added.door.turnAway(false)
	var broken []string
	runs := e.byRequest()
	for _, each := range c.all {
		if late := each.at.Sub(dropped); late > applyBound+stretchBound && len(runs[each.id]) > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: %s, sent to %s with the dropped key %d ms after the acknowledgement, is run by %s", each.id, each.gateway, late.Milliseconds(), runs[each.id][0].runner))
		}
	}
	w.finish(broken)
}

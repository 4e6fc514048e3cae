package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The answers of three runs in ten are lost at one of three runners for six seconds, as on the day trouble-2 of the site:
	// answer_lost, share 0.6, x 0.3, for_s 6.
	loseFrom  = 8 * time.Second
	loseUntil = 14 * time.Second
)

// playContinued: one runner loses answers of runs on which it works on. The request may not be repeated, and a copy of its
// memory is at another runner.
func playContinued(dir string, trouble bool) {
	w := newWorld(dir)
	e := newEngines()
	var loser atomic.Pointer[runner]
	var number atomic.Int64
	var runners []*runner
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-engine-%d", i+1), service: engines1, slots: 64, engines: e, record: w.record}
		r.planOf = func(request *http.Request) plan {
			p := plan{events: 42, pause: 60 * time.Millisecond}
			if loser.Load() == r && number.Add(1)%10 < 3 {
				p.loseAfter = 10
			}
			return p
		}
		r.start()
		runners = append(runners, r)
	}
	w.store.put("config", "main", configuration(7, route("review", "/review/", "streaming", engines1, 10000, 600, 1, false)))
	for _, each := range runners {
		w.store.put("servers", each.id, each.serverEntry("ready"))
	}
	w.startGateways(2)
	c := newClient(w, false)
	var requests sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < 22*time.Second; i++ {
		now := time.Since(began)
		switch {
		case !trouble:
		case loser.Load() == nil && now >= loseFrom && now < loseUntil:
			chosen := busiest(runners)
			loser.Store(chosen)
			w.record.say("%s loses three answers in ten from now on", chosen.id)
		case loser.Load() != nil && now >= loseUntil:
			w.record.say("%s loses no more answers", loser.Swap(nil).id)
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			c.send(w.gateways[i%2], http.MethodPost, host, "/review/2f", key, "hardship", 10*time.Second, map[string]string{
				headerModel: "m", headerTokens: "11812,378", headerPrompt: "5c1e07a2:512,91bd3f06:10000,SELF:1300",
			})
		}()
		time.Sleep(40 * time.Millisecond)
	}
	requests.Wait()
	time.Sleep(3 * time.Second)
	w.finish(stillAtWork(w, e))
}

// busiest returns the runner that works on most requests.
func busiest(runners []*runner) *runner {
	most := runners[0]
	for _, each := range runners {
		if each.active.Load() > most.active.Load() {
			most = each
		}
	}
	return most
}

// stillAtWork returns the requests on which a runner still worked 400 ms after another one had begun to continue them.
func stillAtWork(w *world, e *engines) (broken []string) {
	byRequest, continued := e.byRequest(), 0
	for id, runs := range byRequest {
		for i := 1; i < len(runs); i++ {
			before, later := runs[i-1], runs[i]
			continued++
			over := before.ended.Sub(later.began)
			reached := 0
			for _, others := range byRequest {
				for _, each := range others {
					if each.runner == before.runner && each.began.After(later.began) && each.began.Before(before.ended) {
						reached++
					}
				}
			}
			if over > 400*time.Millisecond {
				broken = append(broken, fmt.Sprintf("TWICE: %s continues at %s from the copy of %s, and %s works on it for %d ms more (%s); meanwhile %d other requests reach %s", id, later.runner, later.continues, before.runner, over.Milliseconds(), before.outcome, reached, before.runner))
			}
		}
	}
	w.record.say("%d runs were continued at another runner", continued)
	return broken
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	drainBound   = 2 * time.Second // drainMs
	contactBound = 3 * time.Second // contactMs

	// newerCopy and olderCopy are how far the two copies are behind.
	newerCopy = 100 * time.Millisecond
	olderCopy = 4 * time.Second

	// lingerTime is how long a runner serves after its entry went: drainMs and some seconds.
	lingerTime = 5 * time.Second
	// events and pause make streams that end well before the runner does if they reach it within drainMs.
	departedEvents = 25
	departedPause  = 60 * time.Millisecond
)

// departure is a runner whose entry goes without a word, and that serves on for a while.
type departure struct {
	runner  *runner
	goneAt  time.Time // when the store took the removal
	startAt time.Time // when a gateway was started soon after, or zero
	gateway string
}

// playDeparted: a gateway that rests on stale reads of the store is killed and started again while a runner leaves.
func playDeparted(dir string, trouble bool) {
	w := newWorld(dir)
	e := newEngines()
	// Stale reads are answered by one of two copies of the store's data, for some seconds each.
	var olderAnswers atomic.Bool
	w.store.staleBy = func() time.Duration {
		if olderAnswers.Load() {
			return olderCopy
		}
		return newerCopy
	}
	number := 0
	add := func() *runner {
		number++
		r := &runner{id: fmt.Sprintf("i-engine-%d", number), service: engines1, slots: 64, engines: e, record: w.record}
		r.planOf = func(*http.Request) plan { return plan{events: departedEvents, pause: departedPause} }
		r.start()
		w.store.put("servers", r.id, r.serverEntry("ready"))
		return r
	}
	w.store.put("config", "main", configuration(7, route("review", "/review/", "streaming", engines1, 10000, 600, 1, false)))
	var runners []*runner
	for range 4 {
		runners = append(runners, add())
	}
	time.Sleep(5 * time.Second) // so that the stale copies know them
	w.startGateways(4)
	time.Sleep(4 * time.Second)
	c := newClient(w, false)
	var requests sync.WaitGroup
	done := make(chan struct{})
	requests.Add(1)
	go func() {
		defer requests.Done()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(25 * time.Millisecond):
			}
			requests.Add(1)
			go func() {
				defer requests.Done()
				c.send(w.gateways[i%4], http.MethodPost, host, "/review/2f", key, "hardship", 10*time.Second, map[string]string{
					headerModel: "m", headerTokens: "1812,225", headerPrompt: fmt.Sprintf("5c1e07a2:512,%x:1000,SELF:300", 0xa0+i%16),
				})
			}()
		}
	}()
	var departures []*departure
	for range 3 {
		d := &departure{runner: runners[0]}
		runners = append(runners[1:], add())
		time.Sleep(5 * time.Second)
		d.goneAt = w.store.remove("servers", d.runner.id)
		w.record.say("the entry of %s goes; it serves on for %v", d.runner.id, lingerTime)
		time.AfterFunc(lingerTime, d.runner.end)
		time.AfterFunc(time.Second, func() { olderAnswers.Store(true) })
		time.AfterFunc(8*time.Second, func() { olderAnswers.Store(false) })
		time.Sleep(300 * time.Millisecond)
		if learner := w.learner(); trouble && learner != nil {
			w.record.say("%s is killed", learner.name)
			_ = learner.process.Process.Signal(syscall.SIGKILL)
			<-learner.ended
			time.Sleep(200 * time.Millisecond)
			w.start(learner)
			d.startAt, d.gateway = time.Now(), learner.name
		}
		departures = append(departures, d)
		time.Sleep(8 * time.Second)
	}
	close(done)
	requests.Wait()
	w.finish(reachedLate(w, e, c, departures))
}

// learner returns a gateway that doesn't read the store all the time, or nil.
func (w *world) learner() *gateway {
	for _, each := range w.gateways {
		answer, err := http.Get("http://" + each.ready + "/status")
		if err != nil {
			continue
		}
		var status struct {
			Reader bool `json:"reader"`
		}
		err = json.NewDecoder(answer.Body).Decode(&status)
		_ = answer.Body.Close()
		if err == nil && !status.Reader {
			return each
		}
	}
	return nil
}

// reachedLate returns the requests that reached a runner more than drainMs after its removal, sent by a gateway that had run for
// contactMs.
func reachedLate(w *world, e *engines, c *client, departures []*departure) (broken []string) {
	sentBy, answers := map[string]string{}, map[string]*sent{}
	for _, each := range c.all {
		sentBy[each.id], answers[each.id] = each.gateway, each
	}
	for id, runs := range e.byRequest() {
		for _, each := range runs {
			for _, d := range departures {
				after := each.began.Sub(d.goneAt)
				if d.runner.id != each.runner || after <= drainBound {
					continue
				}
				if d.gateway == sentBy[id] && each.began.Sub(d.startAt) < contactBound {
					continue // not in touch yet
				}
				got := "is answered whole"
				if a := answers[id]; !a.isWhole || a.status != http.StatusOK {
					got = fmt.Sprintf("is lost as the runner ends (status %d, %d events)", a.status, a.events)
				}
				broken = append(broken, fmt.Sprintf("DRAIN: %s, sent on by %s, reaches %s %d ms after its entry went, and %d ms after the gateway was started; it %s", id, sentBy[id], d.runner.id, after.Milliseconds(), each.began.Sub(d.startAt).Milliseconds(), got))
			}
		}
	}
	return broken
}
